package fordridge;

import fordridge.cli.Cli;
import fordridge.drill.Drill;

/** Entry point. The drill is started again and again by the bench, so it does not wait for the command line's library. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("drill")) {
            System.exit(new Drill(System.in, System.out, System.err).run());
        }
        System.exit(Cli.run(args));
    }
}
