import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A job with very many tasks comes among others. */
final class LargeJobCase {
    private static final String LARGE = "5c0e7a21d94b36f8";
    private static final int LARGE_TASKS = 700_000;
    private static final int USUAL_TASKS = 7;
    private static final int LATER_JOBS = 6;
    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_MILLIS = 3_000;

    static boolean run(Rig rig, boolean hasTrouble) throws Exception {
        rig.configure(3);
        rig.addMinions(8);
        rig.addHosts(3);
        if (!Rig.await(20_000, () -> rig.owner() != null)) throw new IllegalStateException("no host owns the minions");
        Thread.sleep(4_000);

        int tasks = hasTrouble ? LARGE_TASKS : USUAL_TASKS;
        Rig.say("a job of " + tasks + " tasks comes");
        if (rig.hosts.get(0).submit(LARGE, rig.ledger.body(LARGE, "a large job", tasks, 850, 3_100, 6_200, "")) != 200) {
            // A refusal is allowed.
            Rig.tell("the large job was not accepted");
        }
        Thread.sleep(5_000);
        List<String> later = new ArrayList<>();
        for (int i = 0; i < LATER_JOBS; i++) {
            String id = String.format("%016x", 0x7d1f8b3200000000L + i);
            String body = rig.ledger.body(id, "a later job", 1, 500, 3_000, 4_000, "");
            for (int attempt = 0; attempt < 6 && !later.contains(id); attempt++) {
                if (rig.hosts.get((i + attempt) % 3).submit(id, body) == 200) later.add(id);
            }
        }
        if (later.size() < LATER_JOBS) throw new IllegalStateException("only " + later.size() + " later jobs were accepted");
        Thread.sleep(FINISH_MILLIS);

        Set<String> idle = new HashSet<>(later);
        Set<Integer> busy = new HashSet<>();
        for (long until = Rig.now() + IDLE_MILLIS; Rig.now() < until; Thread.sleep(20)) {
            idle.removeIf(rig.ledger::hasStarted);
            busy.add(rig.ledger.runningTasks());
        }
        List<String> states = new ArrayList<>();
        for (int i = 0; i < LATER_JOBS; i++) states.add(rig.hosts.get((i + 1) % 3).state(later.get(i)));
        Rig.tell("later jobs that never started, " + (FINISH_MILLIS + IDLE_MILLIS) + " ms after the last was accepted: " + idle.size() + " of "
            + LATER_JOBS + "; states " + states + "; running tasks in the last " + IDLE_MILLIS + " ms: " + busy);
        return idle.isEmpty() && rig.ledger.broken.isEmpty();
    }
}
