import java.nio.file.Path;

/** Runs the scenario of the case in a folder; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
final class Run {
    interface Scenario {
        /** Returns whether the rule held. */
        boolean run(Rig rig, boolean hasTrouble) throws Exception;
    }

    public static void main(String[] args) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(Path.of(args[1]))) {
            code = scenario(args[0]).run(rig, hasTrouble) ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static Scenario scenario(String name) {
        switch (name) {
            case "accumulation": return AccumulationCase::run;
            case "cancel": return CancelCase::run;
            case "together": return TogetherCase::run;
            case "large": return LargeJobCase::run;
            case "silence": return SilenceCase::run;
            default: throw new IllegalArgumentException(name);
        }
    }
}
