#!/usr/bin/env bash
# Runs the stand-ins of one case: run-case.sh FOLDER CLASS. Ends with the case's exit code.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd) || exit 2
folder=$(cd "$1" && pwd) || exit 2
cd "$root" || exit 2
[[ -f target/fordridge.jar && -d review/build ]] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
tmp=$(mktemp -d) || exit 2
java -Dlogback.configurationFile=review/standins/logback.xml -cp "review/build:target/fordridge.jar:target/lib/*" "fordridge.review.$2" "$folder" "$tmp" &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; rm -rf "$tmp"; exit 2' INT TERM
wait "$child"
code=$?
rm -rf "$tmp"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
