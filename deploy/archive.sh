#!/usr/bin/env bash
# Run by the build: the training run for class data sharing. It serves some requests on loopback and records the classes
# that this loads in target/fordridge.jsa, from which a starting scheduler reads them. Without the archive the scheduler
# starts as well, only later.
. deploy/classpath.sh
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/fordridge.jsa -Xlog:disable \
  -Xlog:all=error:stderr -cp "$classpath" fordridge.Main serve --rehearse
