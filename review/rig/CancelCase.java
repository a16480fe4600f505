import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * The store loses answers of writes and carries the writes out late; clients hand jobs in and, as they leave, cancel
 * them.
 */
final class CancelCase {
    private static final int JOBS = 36;
    private static final long TROUBLE_MILLIS = 4_500;
    /** The writes of one job in three get no answer. */
    private static final int LOST_EVERY = 3;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_MILLIS = 200;

    static boolean run(Rig rig, boolean hasTrouble) throws Exception {
        rig.configure(3);
        rig.addMinions(8);
        rig.addHosts(3);
        if (!Rig.await(20_000, () -> rig.owner() != null)) throw new IllegalStateException("no host owns the minions");
        Thread.sleep(4_000);

        if (hasTrouble) loseAnswers(rig);
        Rig.say("the disruption begins");
        Map<String, Long> cancelled = new ConcurrentHashMap<>();
        CountDownLatch open = new CountDownLatch(JOBS);
        for (int i = 0; i < JOBS; i++) {
            int number = i;
            Rig.thread("client " + i, () -> {
                call(rig, number, cancelled);
                open.countDown();
            });
            Thread.sleep(TROUBLE_MILLIS / JOBS);
        }
        for (Rig.Host host : rig.hosts) host.trouble = null;
        long endedMillis = Rig.now();
        Rig.say("the disruption is over");
        open.await();
        if (cancelled.size() < JOBS) throw new IllegalStateException("only " + cancelled.size() + " cancels were acknowledged");

        // From here on all is calm: a task of a cancelled job has to be gone after cancel_ms + stop_timeout_ms.
        long calmMillis = endedMillis + CONTACT_MILLIS;
        Set<String> started = new HashSet<>();
        Map<String, Long> runningSince = new LinkedHashMap<>();
        Set<String> running = new HashSet<>();
        while (Rig.now() < calmMillis + 10_000) {
            long now = Rig.now();
            for (Map.Entry<String, Long> e : cancelled.entrySet()) {
                String task = e.getKey() + ".0.0.0";
                if (now < calmMillis || now < e.getValue()) continue;
                long age = rig.minions.stream().mapToLong(m -> m.ageMillis(task)).max().orElse(-1);
                if (age < 0) {
                    runningSince.remove(task);
                    continue;
                }
                long startedMillis = now - age;
                if (startedMillis > calmMillis && startedMillis > e.getValue() + CANCEL_MILLIS && started.add(task)) {
                    Rig.say("BROKEN UNASKED " + task + " started " + (startedMillis - e.getValue()) + " ms after its cancel was acknowledged, "
                        + (startedMillis - endedMillis) + " ms after the disruption");
                }
                long since = runningSince.computeIfAbsent(task, t -> now);
                if (now > since + CANCEL_MILLIS + STOP_MILLIS && running.add(task)) {
                    Rig.say("BROKEN UNASKED " + task + " still runs " + (now - e.getValue()) + " ms after its cancel was acknowledged, "
                        + (now - endedMillis) + " ms after the disruption");
                }
            }
            Thread.sleep(20);
        }
        List<String> shown = new ArrayList<>();
        for (String task : running) shown.add(rig.hosts.get(0).state(task.substring(0, 16)));
        Rig.tell("of " + JOBS + " jobs whose cancel was acknowledged, " + running.size() + " run on in calm, shown as " + shown + "; "
            + started.size() + " of them started later than " + CANCEL_MILLIS + " ms after it");
        return running.isEmpty() && started.isEmpty();
    }

    /** A client that hands a job in, leaves whatever the answer is, and cancels the job until that is acknowledged. */
    private static void call(Rig rig, int number, Map<String, Long> cancelled) throws InterruptedException {
        String id = String.format("%016x", 0x5c0e7a2100000000L + number);
        rig.hosts.get(number % 3).submit(id, rig.ledger.body(id, "a job", 1, 30_000, 1_000, 1_000, ""));
        for (int attempt = 1; attempt < 20; attempt++) {
            int status = rig.hosts.get((number + attempt) % 3).cancel(id);
            if (status / 100 == 2 || status == 410) {
                cancelled.put(id, Rig.now());
                return;
            }
            Thread.sleep(300);
        }
    }

    /** Writes of some jobs get no answer, and are carried out 1 to 6 s later if their conditions still hold. */
    private static void loseAnswers(Rig rig) {
        Random random = new Random(1);
        for (Rig.Host host : rig.hosts) {
            host.trouble = request -> {
                if (!request.path.equals("/kv-txn") || !isLost(request.body)) return rig.store.handle(request);
                long delayMillis = 1_000 + random.nextInt(5_000);
                Rig.say("a write of " + host.name + " gets no answer, and is done " + delayMillis + " ms later: " + keys(request.body));
                Rig.thread("late write", () -> {
                    Thread.sleep(delayMillis);
                    Rig.say("a late write is carried out: " + keys(request.body) + ": " + rig.store.handle(request).status);
                });
                return HttpPort.NO_ANSWER;
            };
        }
    }

    @SuppressWarnings("unchecked")
    private static String keys(String body) {
        StringBuilder keys = new StringBuilder();
        for (Object put : (List<Object>) Json.object(body).get("puts")) keys.append(((Map<String, Object>) put).get("key")).append(' ');
        return keys.toString().trim();
    }

    private static boolean isLost(String body) {
        String keys = keys(body);
        int at = keys.indexOf("5c0e7a21");
        return at >= 0 && Long.parseLong(keys.substring(at + 8, at + 16), 16) % LOST_EVERY == 0 && !keys.contains(" ");
    }
}
