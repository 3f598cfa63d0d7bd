#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, with the JDK that the build of the deploy file needs.
cd "$(dirname "$0")/stand-ins-2" || exit 2
rm -rf build && mkdir build && javac --release 17 -nowarn -d build src/standins/*.java
