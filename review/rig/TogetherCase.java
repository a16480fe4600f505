import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A minion is lost for good, and at the same moment the owner's process is killed; lasting tasks ran on that minion. */
final class TogetherCase {
    private static final String ID = "7d1f8b32ea5c4709";
    private static final int TASKS = 16;
    private static final long RESTART_MILLIS = 1_000;
    /** A task that lasts is to run again 6 s after its last run; less is allowed only for 3 s in calm. */
    private static final long DUE_MILLIS = 6_000;
    private static final long IDLE_MILLIS = 3_000;
    private static final long CALM_BEFORE_MILLIS = 4_000;

    static boolean run(Rig rig, boolean hasTrouble) throws Exception {
        rig.configure(3);
        rig.addMinions(8);
        rig.addHosts(3);
        if (!Rig.await(20_000, () -> rig.owner() != null)) throw new IllegalStateException("no host owns the minions");
        Thread.sleep(4_000);
        String body = rig.ledger.body(ID, "a watch", TASKS, 600_000, 6_000, 8_000, "")
            .replace("\"estimate_ms\":", "\"long_running\":true,\"estimate_ms\":");
        if (rig.hosts.get(0).submit(ID, body) != 200) throw new IllegalStateException("the job was not accepted");
        if (!Rig.await(10_000, () -> running(rig) == TASKS)) throw new IllegalStateException("the tasks don't run");
        Thread.sleep(8_000);

        Minion lost = rig.minions.stream().filter(m -> m.runs(ID + ".0.0.0")).findFirst().orElseThrow();
        Rig.Host owner = rig.owner();
        long beganMillis = Rig.now();
        if (hasTrouble) {
            lost.crash();
            owner.kill();
            Thread.sleep(RESTART_MILLIS);
            owner.start();
        }
        long calmMillis = Rig.now() + CALM_BEFORE_MILLIS;
        Map<Integer, Long> idleSince = new HashMap<>();
        List<Integer> broken = new ArrayList<>();
        long restoredMillis = -1;
        while (Rig.now() < beganMillis + 25_000) {
            long now = Rig.now();
            if (restoredMillis < 0 && running(rig) == TASKS) restoredMillis = now;
            if (running(rig) < TASKS) restoredMillis = -1;
            for (int i = 0; i < TASKS; i++) {
                String task = ID + ".0.0." + i;
                boolean isDue = now > beganMillis + DUE_MILLIS && now > calmMillis;
                if (!isDue || rig.minions.stream().anyMatch(m -> m.runs(task))) {
                    idleSince.remove(i);
                } else if (now > idleSince.computeIfAbsent(i, n -> now) + IDLE_MILLIS && !broken.contains(i)) {
                    broken.add(i);
                    Rig.say("BROKEN LOST " + task + " is to last and doesn't run, " + (now - beganMillis) + " ms after the disruption, with room for it");
                }
            }
            Thread.sleep(20);
        }
        Rig.tell("lasting tasks that didn't run with room for them: " + broken.size() + " of " + TASKS + "; all ran again "
            + (restoredMillis < 0 ? "not within 25,000" : restoredMillis - beganMillis) + " ms after the disruption");
        return broken.isEmpty();
    }

    private static long running(Rig rig) {
        long count = 0;
        for (int i = 0; i < TASKS; i++) {
            String task = ID + ".0.0." + i;
            if (rig.minions.stream().anyMatch(m -> m.runs(task))) count++;
        }
        return count;
    }
}
