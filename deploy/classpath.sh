# The class path of the scheduler, sourced by deploy/serve.sh and deploy/archive.sh: a class archive is valid only for the
# class path that it was created with. It has only the libraries that serving needs: all 65 are too many where a process
# may open 64 files.
classpath=target/fordridge-serve.jar
for jar in target/lib/{jackson-core,netty-{common,buffer,transport,resolver,codec-base,handler}}-[0-9]*.jar; do
  classpath+=:$jar
done
