#!/bin/sh
# Starts the placer within the limits that its configuration tells: heap, direct memory and stacks are held to the
# told memory, and classes come from the archive that the build made. See docs/platform.md.
mb=$(sed -n 's/.*"memory_mb"[^0-9]*\([0-9]*\).*/\1/p' "$LB_CONFIG" | head -n 1)
heap=$(( ${mb:-64} / 4 ))
[ "$heap" -ge 10 ] || heap=10
[ "$heap" -le 32 ] || heap=32
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError \
  -Xms${heap}m -Xmx${heap}m -Xmn$((heap / 3))m -Xss256k -XX:ReservedCodeCacheSize=12m -XX:MaxMetaspaceSize=32m \
  -XX:CompressedClassSpaceSize=8m -XX:MaxDirectMemorySize=4m -Djdk.nio.maxCachedBufferSize=16384 \
  -Xshare:auto -XX:SharedArchiveFile=target/fordridge.jsa -Xlog:disable -Xlog:all=error:stderr \
  -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true -Dio.netty.noUnsafe=false \
  -Dio.netty.recycler.maxCapacityPerThread=0 -Dio.netty.leakDetection.level=disabled \
  -jar target/fordridge.jar serve
