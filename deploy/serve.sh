#!/usr/bin/env bash
# Starts the scheduler within the limits of its configuration: heap, direct memory and stacks are bounded by the
# configured memory, and classes are loaded from the archive that the build created. See docs/platform.md. The environment
# allows no other program to be started: shell built-ins read the configuration, and exec replaces the shell by the
# scheduler.
LC_ALL=C
mb=
if [[ -r ${LB_CONFIG-} ]]; then
  mapfile -t lines < "$LB_CONFIG"
  [[ ${lines[*]} =~ \"memory_mb\"[^0-9]*([0-9]+) ]] && mb=${BASH_REMATCH[1]}
fi
unset lines LC_ALL
. deploy/classpath.sh
heap=$(( 10#${mb:-64} / 4 ))
(( heap >= 10 )) || heap=10
(( heap <= 32 )) || heap=32
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError \
  -Xms${heap}m -Xmx${heap}m -Xmn$((heap / 3))m -Xss256k -XX:ReservedCodeCacheSize=12m -XX:MaxMetaspaceSize=32m \
  -XX:CompressedClassSpaceSize=8m -XX:MaxDirectMemorySize=4m -Djdk.nio.maxCachedBufferSize=16384 \
  -Xshare:auto -XX:SharedArchiveFile=target/fordridge.jsa -Xlog:disable -Xlog:all=error:stderr \
  -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true -Dio.netty.noUnsafe=false \
  -Dio.netty.recycler.maxCapacityPerThread=0 -Dio.netty.leakDetection.level=disabled \
  -cp "$classpath" fordridge.Main serve
