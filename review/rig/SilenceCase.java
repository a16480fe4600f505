import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Open connections to the store go silent; right after, a configuration drops a route. */
final class SilenceCase {
    private static final String OLD_PREFIX = "/pufi791/";
    private static final int VOLLEY = 24;
    private static final int STATES_ASKED = 5;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long DEADLINE_MILLIS = 2_000;
    private static final long WATCHED_MILLIS = 9_000;

    static boolean run(Rig rig, boolean hasTrouble) throws Exception {
        rig.configure(3, ",{\"name\":\"r-73d3zji\",\"host\":\"" + Rig.HOST + "\",\"prefix\":\"" + OLD_PREFIX
            + "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":0,\"service\":\""
            + Rig.SERVICE + "\",\"max_attempts\":3,\"stretch\":2.0}");
        rig.addMinions(6);
        rig.addHosts(3);
        if (!Rig.await(20_000, () -> rig.owner() != null)) throw new IllegalStateException("no host owns the minions");
        Thread.sleep(3_000);
        volley(rig);
        Thread.sleep(700);

        long silencedMillis = Rig.now();
        if (hasTrouble) {
            for (Rig.Host host : rig.hosts) Rig.say("connections of " + host.name + " to the store that go silent: " + host.storePort.silence());
        }
        Thread.sleep(100);
        rig.configure(3);
        long ackedMillis = Rig.now();
        Rig.say("a configuration without the route " + OLD_PREFIX + " is acknowledged");

        List<String> broken = new ArrayList<>();
        int due = 0;
        for (int n = 0; Rig.now() < silencedMillis + WATCHED_MILLIS; n++) {
            Rig.Host host = rig.hosts.get(n % 3);
            String id = String.format("%016x", 0x7f00000000000000L + n);
            String body = rig.ledger.body(id, "a job on the old route", 1, 100, 1_000, 1_000, "");
            long sentMillis = Rig.now();
            boolean isDue = sentMillis > ackedMillis + DEADLINE_MILLIS && sentMillis > silencedMillis + CONTACT_MILLIS;
            if (!isDue) {
                Thread.sleep(20);
                continue;
            }
            int status = 0;
            try {
                status = host.client().call("POST", OLD_PREFIX + id, body, 3_000).status;
            } catch (IOException e) {
                // It counts as no answer.
            }
            due++;
            String line = "POST " + OLD_PREFIX + id + " at " + host.name + ": " + status + ", sent " + (sentMillis - ackedMillis)
                + " ms after the acknowledgement, " + (sentMillis - silencedMillis) + " ms after the disruption";
            if (status == 200) {
                broken.add(line);
                line = "BROKEN CONFIG " + line;
            }
            Rig.say(line);
            Thread.sleep(50);
        }
        Thread.sleep(1_000);
        Rig.tell("jobs sent on the dropped route when that was due: " + due + "; accepted: " + broken.size());
        if (!broken.isEmpty()) Rig.tell("the last: " + broken.get(broken.size() - 1));
        return broken.isEmpty();
    }

    /** Some clients send a job each at the same moment, and ask for its state a few times. */
    private static void volley(Rig rig) throws InterruptedException {
        CountDownLatch connected = new CountDownLatch(VOLLEY * 3);
        for (int i = 0; i < VOLLEY * 3; i++) {
            String id = String.format("%016x", 0x5c0e7a2100000000L + i);
            Rig.Host host = rig.hosts.get(i % 3);
            String body = rig.ledger.body(id, "a job", 1, 300, 1_000, 1_000, "");
            Rig.thread("client " + i, () -> {
                Rig.Client client = host.client().kept();
                client.connect(3_000);
                connected.countDown();
                connected.await();
                int status = client.call("POST", Rig.PREFIX + id, body, 3_000).status;
                Rig.say("POST " + Rig.PREFIX + id + " at " + host.name + ": " + status);
                for (int n = 0; n < STATES_ASKED; n++) client.call("GET", Rig.PREFIX + id, null, 3_000);
                client.close();
            });
        }
        connected.await();
    }
}
