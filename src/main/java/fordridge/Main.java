package fordridge;

import fordridge.drill.Drill;

/** Entry point: one subcommand for each way of feeding the module. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("drill")) {
            System.exit(new Drill(System.in, System.out, System.err).run());
        }
        System.err.println("usage: fordridge drill    (decide on the simulator's wire, stdin to stdout)");
        System.exit(2);
    }
}
