#!/bin/sh
# Run by the build: plays a short rehearsal and records the classes it loads in target/fordridge.jsa, from which a
# starting placer reads them. Without the archive the placer starts as well, only later.
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/fordridge.jsa -Xlog:disable \
  -Xlog:all=error:stderr -jar target/fordridge.jar serve --rehearse
