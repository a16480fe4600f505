import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Many jobs have come and were done; then the owner's process is killed, and a few more jobs come. */
final class AccumulationCase {
    private static final int JOBS = 17_000;
    private static final int SPEC_BYTES = 4_000;
    private static final int SENDERS = 24;
    private static final int PER_S = 340;
    private static final int LATER_JOBS = 6;
    private static final long RESTART_MILLIS = 1_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_MILLIS = 3_000;

    static boolean run(Rig rig, boolean hasTrouble) throws Exception {
        rig.configure(3);
        rig.addMinions(12);
        rig.addHosts(3);
        if (!Rig.await(20_000, () -> rig.owner() != null)) throw new IllegalStateException("no host owns the minions");
        int accepted = send(rig);
        boolean areDone = Rig.await(10_000, () -> rig.ledger.doneJobs() >= accepted);
        Rig.tell("accepted " + accepted + " of " + JOBS + " jobs, done " + rig.ledger.doneJobs() + "; most calls of the store in a second: "
            + rig.store.mostWrites + " writing of 400, " + rig.store.mostReads + " reading of 2000; refused " + rig.store.refused);
        if (!areDone || accepted < JOBS) throw new IllegalStateException("the jobs before the disruption were not done");
        Thread.sleep(1_000);

        Rig.Host owner = rig.owner();
        if (hasTrouble) {
            owner.kill();
            Thread.sleep(RESTART_MILLIS);
            owner.start();
            Rig.await(10_000, owner::isReady);
        }
        List<String> later = new ArrayList<>();
        for (int i = 0; i < LATER_JOBS; i++) {
            String id = String.format("%016x", 0x5c0e7a2100000000L + i);
            Rig.Host host = rig.hosts.get(i % 3);
            String body = rig.ledger.body(id, "a later job", 1, 500, 3_000, 4_000, "");
            if (Rig.await(5_000, () -> host.submit(id, body) == 200)) later.add(id);
        }
        if (later.size() < LATER_JOBS) throw new IllegalStateException("only " + later.size() + " later jobs were accepted");
        Thread.sleep(FINISH_MILLIS);

        // For 3 s, has a job nothing running, while all minions are idle?
        Set<String> idle = new HashSet<>(later);
        for (long until = Rig.now() + IDLE_MILLIS; Rig.now() < until; Thread.sleep(20)) idle.removeIf(rig.ledger::hasStarted);
        List<String> states = new ArrayList<>();
        for (int i = 0; i < LATER_JOBS; i++) states.add(rig.hosts.get((i + 1) % 3).state(later.get(i)));
        Rig.tell("later jobs that never started, " + (FINISH_MILLIS + IDLE_MILLIS) + " ms after the last was accepted: " + idle.size()
            + " of " + LATER_JOBS + "; states " + states + "; epochs " + rig.epoch());
        if (!rig.ledger.broken.isEmpty()) Rig.tell("broken: " + rig.ledger.broken);
        return idle.isEmpty() && rig.ledger.broken.isEmpty();
    }

    /** Sends the jobs at an even rate; returns how many were accepted. */
    private static int send(Rig rig) throws Exception {
        String spec = "x".repeat(SPEC_BYTES);
        AtomicInteger next = new AtomicInteger();
        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger open = new AtomicInteger(SENDERS);
        long began = Rig.now();
        for (int i = 0; i < SENDERS; i++) {
            Rig.Host host = rig.hosts.get(i % 3);
            Rig.thread("client " + i, () -> {
                Rig.Client client = host.client().kept();
                for (int n = next.getAndIncrement(); n < JOBS; n = next.getAndIncrement()) {
                    long due = began + n * 1_000L / PER_S;
                    if (due > Rig.now()) Thread.sleep(due - Rig.now());
                    String id = String.format("%016x", 0x1000000L + n);
                    String body = rig.ledger.body(id, spec, 1, 20, 1_000, 1_000, "");
                    for (int attempt = 0; attempt < 5; attempt++) {
                        try {
                            int status = client.call("POST", Rig.PREFIX + id, body, 3_000).status;
                            Rig.say("POST " + Rig.PREFIX + id + " at " + host.name + ": " + status);
                            if (status != 200) continue;
                            accepted.incrementAndGet();
                            break;
                        } catch (IOException e) {
                            Rig.say("POST " + id + " at " + host.name + ": " + e.getMessage());
                        }
                    }
                }
                open.decrementAndGet();
            });
        }
        Rig.await(70_000, () -> open.get() == 0);
        return accepted.get();
    }
}
