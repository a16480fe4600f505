import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A minion as PROTOCOL.md describes it.
 *
 * How long a task works is told by the spec of its job, as "work=MILLIS", and what it takes by the
 * job that was sent. A crash closes the minion's port and forgets all; it may start again.
 */
final class Minion {
    private static final int MAX_ENDS = 500;

    /** What one task of a step takes. */
    record Need(long cpu, long memory, int gang, String label, int spread, boolean lasts) {}

    private static final class Run {
        String task;
        long number;
        long beganMillis;
        long workMillis;
        Need need;

        /** When the work began, which a member of a gang does once all are present, or 0. */
        volatile long workingSince;
        volatile String told;
    }

    /** A run of a gang, by job, occurrence, step and run number. */
    private static final Map<String, List<Run>> GANGS = new HashMap<>();

    /** Whether calls get no answer and are not carried out. */
    volatile boolean isCut;

    /** The share of starts, stops and changes of pace that get no answer and are carried out late. */
    volatile double lateShare;

    private record End(long number, String task, long run, String how, long atMillis) {}

    final String machine;
    final String ip;
    private final Rig rig;
    private final long cpu;
    private final long memory;
    private final String kind;
    private final String rack;

    String id;
    private int life;
    private int port;
    private Http.Server server;
    private boolean isUp;
    private long bornMillis;
    private long beganMillis;
    private long leaseEnd;

    /** When the lease was last seen to have lapsed. */
    private long lastLapseMillis;
    private long token;
    private long lastEnd;
    private long sequence;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<End> ended = new ArrayList<>();
    private final Map<String, Long> closedRuns = new HashMap<>();

    Minion(Rig rig, String machine, String ip, long cpu, long memory, String kind, String rack) {
        this.rig = rig;
        this.machine = machine;
        this.ip = ip;
        this.cpu = cpu;
        this.memory = memory;
        this.kind = kind;
        this.rack = rack;
    }

    /** Names this life of the minion, which may have the ID of an earlier one. */
    String lifeName() {
        return id + "/" + life;
    }

    String address() {
        return ip + ":" + port;
    }

    private long clock() {
        return 100_000 + Rig.now() - beganMillis;
    }

    void start() throws IOException {
        startAs("i-" + machine + (life + 1));
    }

    /** Starts as [newId], which may be the one that it had. */
    synchronized void startAs(String newId) throws IOException {
        life++;
        id = newId;
        bornMillis = System.currentTimeMillis();
        beganMillis = Rig.now();
        leaseEnd = 0;
        token = 0;
        lastEnd = 0;
        sequence = 0;
        running.clear();
        ended.clear();
        closedRuns.clear();
        server = new Http.Server(ip, port, this::handle);
        port = server.port();
        isUp = true;
        rig.record("minion " + id + " starts at " + address());
        beat();
    }

    /** Ends the process: connections break, nothing runs any more, and the entry lapses later. */
    void crash() {
        synchronized (this) {
            isUp = false;
            rig.onCrash(this);
            running.values().forEach(run -> leave(run, "crashed"));
            running.clear();
            notifyAll();
        }
        server.stop();
    }

    synchronized boolean isUp() {
        return isUp;
    }

    synchronized int runningCount(String job) {
        int count = 0;
        for (String task : running.keySet()) if (task.startsWith(job + ".")) count++;
        return count;
    }

    synchronized boolean runs(String task) {
        return isUp && running.containsKey(task);
    }

    /** Ends the run of [task] as failed, as a task that lasts may at any time. */
    synchronized void fail(String task) {
        running.get(task).told = "failed";
    }

    /** Writes the entry in the store, as the minion does every heartbeat. */
    synchronized void beat() {
        if (!isUp) return;
        rig.store.put("servers/" + id, Json.of(
            "service", Rig.SERVICE, "address", address(), "zone", Rig.ZONE, "version", "v1",
            "slots", 8, "state", "ready", "cold_remaining_ms", 0,
            "capacity", Json.of("cpu", cpu, "mem_mb", memory, "gpu", 0),
            "labels", List.of(kind, rack), "clock_ms", clock(), "born", bornMillis,
            "seq", ++sequence));
    }

    /** Ends the runs whose work is done, and all of them once the lease has lapsed. */
    synchronized void tick() {
        if (!isUp) return;
        if (clock() > leaseEnd) lastLapseMillis = Rig.now();
        boolean hasLapsed = !running.isEmpty() && clock() > leaseEnd;
        Iterator<Run> runs = running.values().iterator();
        boolean isChanged = false;
        while (runs.hasNext()) {
            Run run = runs.next();
            String how = run.told;
            boolean isWorking = run.workingSince > 0;
            if (how == null && isWorking && !run.need.lasts() && Rig.now() - run.workingSince >= run.workMillis) {
                how = rig.fails(run.task, run.number) ? "failed" : "done";
            }
            if (how == null && !isWorking && Rig.now() - run.beganMillis >= Rig.GANG_TIMEOUT_MILLIS) {
                how = "alone";
            }
            if (how == null && hasLapsed) how = "lapsed";
            if (how == null) continue;
            runs.remove();
            leave(run, how);
            end(run, how);
            isChanged = true;
        }
        if (isChanged) notifyAll();
    }

    private String gangOf(Run run) {
        return run.task.substring(0, run.task.lastIndexOf('.')) + "#" + run.number;
    }

    private void join(Run run) {
        if (run.need.gang() == 0) {
            run.workingSince = Rig.now();
            return;
        }
        synchronized (GANGS) {
            List<Run> members = GANGS.computeIfAbsent(gangOf(run), key -> new ArrayList<>());
            members.add(run);
            if (members.size() == run.need.gang()) members.forEach(m -> m.workingSince = Rig.now());
        }
    }

    private void leave(Run run, String how) {
        if (run.need.gang() == 0) return;
        synchronized (GANGS) {
            List<Run> members = GANGS.getOrDefault(gangOf(run), List.of());
            for (Run member : members) {
                if (member != run && member.told == null && member.workingSince > 0) {
                    member.told = how.equals("done") ? "done" : "broken";
                }
            }
            if (!how.equals("done")) members.remove(run);
        }
    }

    private void end(Run run, String how) {
        ended.add(new End(++lastEnd, run.task, run.number, how, Rig.now()));
        closedRuns.merge(run.task, run.number, Math::max);
        rig.onEnd(this, run.task, run.number, lastEnd, how);
    }

    private Http.Answer handle(HttpExchange exchange, String body) throws InterruptedException {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/health")) return new Http.Answer(200, "{}");
        Map<String, Object> request = Json.object(body);
        String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
        if (isCut) {
            Thread.sleep(4_000);
            return null;
        }
        if (!path.equals("/hold") && lateShare > 0 && Math.random() < lateShare) {
            long delay = 2_000 + (long) (Math.random() * 9_000);
            rig.record("late " + id + " " + path + " " + request.get("task") + " in " + delay);
            rig.later(delay, () -> execute(path, request, expected));
            Thread.sleep(4_000);
            return null;
        }
        return execute(path, request, expected);
    }

    private Http.Answer execute(String path, Map<String, Object> request, String expected)
        throws InterruptedException {
        synchronized (this) {
            if (!isUp) return null;
            if (expected != null && !expected.equals(id)) return new Http.Answer(421, "{}");
            long sent = (Long) request.getOrDefault("fencing_token", 0L);
            if (sent < token) return answer(409, "fence");
            token = sent;
            switch (path) {
                case "/run-start": return onStart(request);
                case "/run-stop": return onStop(request);
                case "/hold": return onHold(request);
                case "/pace": return answer(200, null);
                default: return new Http.Answer(400, "{}");
            }
        }
    }

    private Http.Answer answer(int status, String reason) {
        Map<String, Object> body = Json.of("clock_ms", clock(), "born", bornMillis);
        if (reason != null) body.put("reason", reason);
        return new Http.Answer(status, Json.write(body));
    }

    private void extendLease(Object until) {
        if (until == null) return;
        leaseEnd = Math.max(leaseEnd, Math.min((Long) until, clock() + Rig.MAX_HOLD_MILLIS));
    }

    private Http.Answer onStart(Map<String, Object> request) {
        String task = (String) request.get("task");
        long number = (Long) request.get("run");
        Run present = running.get(task);
        if (present != null && present.number == number) return answer(200, null);
        if ((Long) request.get("until_ms") <= clock()) return answer(409, "late");
        extendLease(request.get("until_ms"));
        if (present != null || number <= closedRuns.getOrDefault(task, 0L)) return answer(409, "old");
        Need need = rig.need(task);
        long cpuUsed = 0;
        long memoryUsed = 0;
        for (Run run : running.values()) {
            cpuUsed += run.need.cpu();
            memoryUsed += run.need.memory();
        }
        boolean fits = cpuUsed + need.cpu() <= cpu && memoryUsed + need.memory() <= memory;
        if (!fits && rig.guards) {
            return answer(409, "room");
        }
        Run run = new Run();
        run.task = task;
        run.number = number;
        run.beganMillis = Rig.now();
        run.workMillis = Rig.workMillis((String) request.get("spec"));
        run.need = need;
        running.put(task, run);
        join(run);
        rig.onStart(this, task, number);
        if (!fits) rig.note("LIMIT " + id + " " + task);
        if (need.label() != null && !need.label().equals(kind)) rig.note("ROUTE " + id + " " + task);
        if (need.spread() > 0) {
            String step = task.substring(0, task.lastIndexOf('.') + 1);
            long same = running.keySet().stream().filter(t -> t.startsWith(step)).count();
            if (same > need.spread()) rig.note("ROUTE anti-affinity " + id + " " + task);
        }
        return answer(200, null);
    }

    private Http.Answer onStop(Map<String, Object> request) {
        String task = (String) request.get("task");
        long number = (Long) request.get("run");
        Run run = running.get(task);
        if (run != null && run.number <= number) {
            running.remove(task);
            leave(run, "stopped");
            end(run, "stopped");
            notifyAll();
        } else {
            closedRuns.merge(task, number, Math::max);
        }
        return answer(200, null);
    }

    private Http.Answer onHold(Map<String, Object> request) throws InterruptedException {
        long seen = (Long) request.getOrDefault("last_seen", 0L);
        if (seen > 0) {
            for (End end : ended) {
                boolean isNoted = end.number() <= seen && lastLapseMillis < end.atMillis();
                if (isNoted) rig.onSeen(this, end.number());
            }
            ended.removeIf(end -> end.number() <= seen);
        }
        extendLease(request.get("until_ms"));
        long deadline = Rig.now() + (Long) request.getOrDefault("wait_ms", 0L);
        int answeredLife = life;
        while (isUp && life == answeredLife && ended.isEmpty() && Rig.now() < deadline) {
            wait(Math.max(1, deadline - Rig.now()));
        }
        if (!isUp || life != answeredLife) return null;
        List<Object> runs = new ArrayList<>();
        for (Run run : running.values()) {
            long worked = run.workingSince == 0 ? 0 : Rig.now() - run.workingSince;
            long percent = run.need.lasts() ? 100 : Math.min(99, 100 * worked / run.workMillis);
            runs.add(List.of(run.task, run.number, "", percent, run.need.cpu()));
        }
        List<Object> ends = new ArrayList<>();
        for (End end : ended) {
            if (ends.size() == MAX_ENDS) break;
            ends.add(List.of(end.number(), end.task(), end.run(), end.how(), ""));
        }
        return new Http.Answer(200, Json.write(Json.of(
            "clock_ms", clock(), "born", bornMillis, "running", runs, "finished", ends)));
    }
}
