# The libraries that serving needs, for deploy/serve.sh and deploy/archive.sh alike: a class archive is only valid for the
# very class path that it was made with. All 65 libraries are too many where a process may open 64 files.
classpath=target/fordridge-serve.jar
for jar in target/lib/{jackson-core,netty-{common,buffer,transport,resolver,codec-base,handler}}-[0-9]*.jar; do
  classpath+=:$jar
done
