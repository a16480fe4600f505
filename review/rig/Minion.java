import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for a minion, as PROTOCOL.md describes it; each crash ends one incarnation. */
final class Minion {
    private static final long HEARTBEAT_MILLIS = 1_100;
    private static final long MAX_HOLD_MILLIS = 6_000;
    private static final long STOP_MILLIS = 50;
    private static final long CPU = 32_000;
    private static final long MEMORY = 128_000;
    private static final int MAX_ENDS = 500;

    private static final class Run {
        final String task;
        final int number;
        final long cpu;
        final long memory;
        final long workMillis;
        final long startedMillis;
        long stopsMillis = Long.MAX_VALUE;

        Run(String task, int number, long cpu, long memory, long workMillis) {
            this.task = task;
            this.number = number;
            this.cpu = cpu;
            this.memory = memory;
            this.workMillis = workMillis;
            startedMillis = Rig.now();
        }
    }

    private final Rig rig;
    private final int number;
    private final HttpPort port;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> lastRuns = new LinkedHashMap<>();
    private final List<Object> ends = new ArrayList<>();
    private long lastEnd;
    private long fence;
    private long untilMillis;
    private long clockBase;
    private long born;
    private long seq;
    private volatile int life;
    private long nextBeat;
    private boolean isUp = true;
    String id;

    Minion(Rig rig, int number) throws IOException {
        this.rig = rig;
        this.number = number;
        port = new HttpPort("127.0.32." + (number + 1), 0, this::handle);
        begin();
        Rig.thread("minion " + number, () -> {
            while (true) {
                Thread.sleep(5);
                tick();
            }
        });
    }

    private synchronized void begin() {
        life++;
        id = String.format("i-%04x%04x", number + 1, life * 7919);
        running.clear();
        lastRuns.clear();
        ends.clear();
        lastEnd = 0;
        fence = 0;
        untilMillis = 0;
        seq = 0;
        clockBase = Rig.now() - 1_000 * (number + 1);
        born = System.currentTimeMillis();
        nextBeat = 0;
    }

    private long clock() {
        return Rig.now() - clockBase;
    }

    private synchronized void tick() {
        if (!isUp) return;
        long now = Rig.now();
        if (now >= nextBeat) {
            nextBeat = now + HEARTBEAT_MILLIS;
            rig.store.put("servers/" + id, Json.write(Json.of("service", Rig.SERVICE, "address", port.hostAndPort(),
                "zone", "z" + number % 3, "version", "v1", "slots", 8, "state", "ready", "cold_remaining_ms", 0,
                "capacity", Json.of("cpu", CPU, "mem_mb", MEMORY, "gpu", 0),
                "labels", List.of("a", "r" + number % 3), "clock_ms", clock(), "born", born, "seq", ++seq)));
        }
        for (Run run : new ArrayList<>(running.values())) {
            if (clock() > untilMillis) end(run, "lapsed");
            else if (now >= run.stopsMillis) end(run, "stopped");
            else if (now - run.startedMillis >= run.workMillis) end(run, "done");
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        ends.add(List.of(++lastEnd, run.task, run.number, how, ""));
        rig.ledger.ended(id, run.task, run.number, how, lastEnd);
        notifyAll();
    }

    /** Ends this incarnation without a word; its entry lapses after three heartbeats. */
    void crash() throws IOException {
        String gone;
        synchronized (this) {
            isUp = false;
            gone = id;
            Rig.say("minion " + id + " crashes; running: " + running.keySet());
            rig.ledger.crashed(id);
            running.clear();
            notifyAll();
        }
        port.close();
        Rig.thread("lapse", () -> {
            Thread.sleep(3 * HEARTBEAT_MILLIS);
            rig.store.delete("servers/" + gone);
        });
    }

    /** Starts the next incarnation at the same address, under a new id. */
    void restart() throws IOException {
        synchronized (this) {
            begin();
            isUp = true;
        }
        port.open();
        Rig.say("minion " + id + " starts on the machine that crashed");
    }

    synchronized boolean runs(String task) {
        return running.containsKey(task);
    }

    synchronized long ageMillis(String task) {
        Run run = running.get(task);
        return run == null ? -1 : Rig.now() - run.startedMillis;
    }

    private HttpPort.Response answer(int status, Object... more) {
        Map<String, Object> body = Json.of("clock_ms", clock(), "born", born);
        body.putAll(Json.of(more));
        return new HttpPort.Response(status, Json.write(body));
    }

    private HttpPort.Response handle(HttpPort.Request r) throws Exception {
        int arrived = life;
        Thread.sleep(1);
        if (r.path.equals("/health")) return new HttpPort.Response(200, "{}");
        Map<String, Object> body = Json.object(r.body);
        synchronized (this) {
            // A call ends with the incarnation that took it.
            if (!isUp || arrived != life) return null;
            String expected = r.headers.get("expected-instance");
            if (expected != null && !expected.equals(id)) return answer(421);
            long token = Json.number(body, "fencing_token", 0);
            if (token < fence) return answer(409, "reason", "fence");
            fence = token;
            switch (r.path) {
                case "/run-start": return start(body);
                case "/run-stop": return stop(body);
                case "/pace": return answer(200);
                case "/hold": return hold(body);
                default: return answer(404);
            }
        }
    }

    private void extend(Map<String, Object> body) {
        long until = Math.min(Json.number(body, "until_ms", 0), clock() + MAX_HOLD_MILLIS);
        untilMillis = Math.max(untilMillis, until);
    }

    private HttpPort.Response start(Map<String, Object> body) {
        String task = (String) body.get("task");
        int number = (int) Json.number(body, "run", 0);
        Run present = running.get(task);
        if (present != null && present.number == number) return answer(200);
        extend(body);
        if (present != null || lastRuns.getOrDefault(task, 0) >= number) return answer(409, "reason", "old");
        if (clock() > Json.number(body, "until_ms", 0)) return answer(409, "reason", "late");
        Ledger.Job job = rig.ledger.job(task);
        long cpu = job == null ? 0 : job.cpu;
        long memory = job == null ? 0 : job.memory;
        long usedCpu = cpu;
        long usedMemory = memory;
        for (Run run : running.values()) {
            usedCpu += run.cpu;
            usedMemory += run.memory;
        }
        if (usedCpu > CPU || usedMemory > MEMORY) return answer(409, "reason", "room");
        String spec = (String) body.get("spec");
        lastRuns.put(task, number);
        running.put(task, new Run(task, number, cpu, memory, job == null ? 1_000 : job.workMillis));
        rig.ledger.started(id, task, number, spec);
        return answer(200);
    }

    private HttpPort.Response stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        int number = (int) Json.number(body, "run", 0);
        lastRuns.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number) run.stopsMillis = Math.min(run.stopsMillis, Rig.now() + STOP_MILLIS);
        return answer(200);
    }

    private HttpPort.Response hold(Map<String, Object> body) throws InterruptedException {
        int mine = life;
        long lastSeen = Json.number(body, "last_seen", 0);
        if (body.containsKey("until_ms")) extend(body);
        ends.removeIf(row -> {
            List<?> end = (List<?>) row;
            if ((long) end.get(0) > lastSeen) return false;
            rig.ledger.noted(id, (String) end.get(1), (int) end.get(2), (String) end.get(3));
            return true;
        });
        long deadline = Rig.now() + Math.min(2_000, Json.number(body, "wait_ms", 0));
        while (ends.isEmpty() && Rig.now() < deadline && isUp && mine == life) wait(deadline - Rig.now());
        if (!isUp || mine != life) return null;
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = Math.min(99, 100 * (Rig.now() - run.startedMillis) / Math.max(1, run.workMillis));
            rows.add(List.of(run.task, run.number, "", percent, run.cpu));
        }
        return answer(200, "running", rows, "finished", new ArrayList<>(ends.subList(0, Math.min(MAX_ENDS, ends.size()))));
    }
}
