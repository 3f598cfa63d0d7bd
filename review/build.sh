#!/usr/bin/env bash
# Compiles the stand-ins of the review cases into review/build, after the build of the deploy file.
# Needs the JDK and target/ alone, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/build
mkdir -p review/build
javac -nowarn -d review/build -cp "target/fordridge.jar:target/lib/*" review/standins/fordridge/review/*.java
echo "stand-ins compiled into review/build"
