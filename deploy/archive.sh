#!/usr/bin/env bash
# Run by the build: the training run for class data sharing. Serves some requests on loopback and archives the classes that
# this loads in target/fordridge.jsa, from which the scheduler loads them when it starts. The scheduler also starts without
# the archive, but more slowly.
. deploy/classpath.sh
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/fordridge.jsa -Xlog:disable \
  -Xlog:all=error:stderr -cp "$classpath" fordridge.Main serve --rehearse
