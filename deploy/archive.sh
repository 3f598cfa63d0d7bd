#!/usr/bin/env bash
# Run by the build: plays a short rehearsal and records the classes it loads in target/fordridge.jsa, from which a
# starting placer reads them. Without the archive the placer starts as well, only later.
. deploy/classpath.sh
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/fordridge.jsa -Xlog:disable \
  -Xlog:all=error:stderr -cp "$classpath" fordridge.Main serve --rehearse
