import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment: daemons as the deploy file starts them, a store, minions and callers.
 *
 * The daemons are processes of their own; the rest are stand-ins in this process. All addresses are
 * loopback addresses.
 */
final class Rig implements AutoCloseable {
    static final String SERVICE = "svc-a";
    static final String ZONE = "z1";
    static final String HOST = "jobs.example";
    static final long MAX_HOLD_MILLIS = 6_000;
    static final long GANG_TIMEOUT_MILLIS = 3_000;

    /** Whether minions reject what doesn't fit. */
    boolean guards = true;

    /** The share of runs that fail. */
    double failShare;
    private static final long HEARTBEAT_MILLIS = 1_100;

    /** The key in the store, not a path, under which the hosts record their owner (WorkflowKeys). */
    private static final String OWNER_KEY = "sycamore/work/owner/0";
    private static final long START_MILLIS = System.nanoTime() / 1_000_000;

    /** A daemon with the addresses of its settings. */
    final class Daemon {
        final String name;
        final String ip;
        final int front;
        final int readiness;
        final int metrics;
        final int peers;
        private final Path settings;
        private Process process;

        Daemon(String name, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            front = Http.freePort(ip);
            readiness = Http.freePort(ip);
            metrics = Http.freePort(ip);
            peers = Http.freePort(ip);
            settings = folder.resolve(name + ".ini");
            Files.writeString(settings, fillTemplate());
        }

        private String fillTemplate() throws IOException {
            Map<String, Object> values = Map.ofEntries(
                Map.entry("node", name), Map.entry("zone", ZONE), Map.entry("ip", ip),
                Map.entry("listen_addrs.front", ip + ":" + front),
                Map.entry("listen_addrs.readiness", ip + ":" + readiness),
                Map.entry("port_range.0", metrics), Map.entry("port_range.1", peers),
                Map.entry("limits.cpu_share", 0.75), Map.entry("limits.cores", 1),
                Map.entry("platform.address", "127.0.0.1:" + store.port()),
                Map.entry("bounds.max_hold_ms", MAX_HOLD_MILLIS),
                Map.entry("bounds.stop_timeout_ms", 200), Map.entry("bounds.grace_s", 6),
                Map.entry("bounds.status_s", 120));
            String text = Files.readString(repository.resolve("deploy/settings.ini"));
            for (Map.Entry<String, Object> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue().toString());
            }
            if (text.contains("{{")) throw new IOException("unknown placeholder in settings.ini");
            return text;
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(runCommand()).directory(repository.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("SYCAMOREMAST_SETTINGS", settings.toString());
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            record("daemon " + name + " starts");
        }

        long pid() {
            return process.pid();
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
            record("daemon " + this.name + " gets " + name);
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            record("daemon " + name + " is killed");
        }

        boolean isRunning() {
            return process != null && process.isAlive();
        }

        boolean isReady() {
            return isRunning() && Http.call(ip, readiness, "GET", "/ready", HOST, null).status() == 200;
        }
    }

    /** What has been seen of one run of a task on a minion. */
    record Event(long atMillis, String kind, String task, long run, String minion, String how, long number) {}

    final Path repository = Path.of("").toAbsolutePath();
    final Path folder;
    final Store store = new Store("127.0.0.1");
    final List<Daemon> daemons = new ArrayList<>();
    final List<Minion> minions = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<String, List<Minion.Need>> needs = new ConcurrentHashMap<>();
    private final PrintWriter records;
    private volatile boolean isOpen = true;

    Rig(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("sycamoremast-review");
        records = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Thread ticks = new Thread(this::run, "minions");
        ticks.setDaemon(true);
        ticks.start();
    }

    static long now() {
        return System.nanoTime() / 1_000_000 - START_MILLIS;
    }

    static long workMillis(String spec) {
        return Long.parseLong(spec.substring(spec.indexOf("work=") + 5).split(" ")[0]);
    }

    /** The words of `run` in the deploy file. */
    private List<String> runCommand() throws IOException {
        String text = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(text);
        if (!matcher.find()) throw new IOException("no run in deploy/system.toml");
        return Arrays.asList(matcher.group(1).split(" "));
    }

    void record(String line) {
        synchronized (records) {
            records.printf("%8.3f %s%n", now() / 1000.0, line);
        }
    }

    /** Writes the operator's configuration with one queue for each of [queues], by name. */
    void configure(Map<String, Integer> queues) {
        List<Object> routes = new ArrayList<>();
        queues.forEach((name, priority) -> routes.add(Json.of(
            "name", name, "host", HOST, "prefix", "/" + name + "/", "kind", "unsafe",
            "timeout_ms", 3_000, "target_latency_ms", 1_000, "priority", priority,
            "service", SERVICE, "max_attempts", 3, "stretch", 2.0)));
        store.put("op/config", Json.of("version", 7, "routes", routes, "services", List.of(Json.of(
            "name", SERVICE, "health_path", "/health", "max_conns", 64, "protocol", "h1",
            "tls", false, "rejects_overload", guards, "standby", false)), "limits", Json.of()));
    }

    void addMinions(int count, long cpu, long memory, String kind) throws IOException {
        int first = minions.size();
        for (int i = first; i < first + count; i++) {
            String machine = String.format("%02x", 0x40 + 0x10 * i);
            Minion minion = new Minion(this, machine, "127.0.2." + (i + 1), cpu, memory, kind, "r1-" + i / 4);
            minions.add(minion);
            minion.start();
        }
    }

    void startDaemons(int count) throws Exception {
        for (int i = 0; i < count; i++) daemons.add(new Daemon("front-" + ZONE + "-" + (i + 1), "127.0.1." + (i + 1)));
        for (Daemon daemon : daemons) daemon.start();
        await("all daemons are ready", 30_000, () -> daemons.stream().allMatch(Daemon::isReady));
        await("an owner was elected", 10_000, () -> ownerOrNull() != null);
        Thread.sleep(3_000);
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    boolean waitFor(long limitMillis, Condition condition) throws Exception {
        long deadline = now() + limitMillis;
        while (now() < deadline) {
            if (condition.holds()) return true;
            Thread.sleep(20);
        }
        return false;
    }

    void await(String what, long limitMillis, Condition condition) throws Exception {
        if (!waitFor(limitMillis, condition)) throw new CouldNotRun("not in time: " + what);
    }

    /** Returns the daemon that wrote last to the store under a condition as the owner, or null. */
    Daemon ownerOrNull() {
        String text = store.text(OWNER_KEY);
        if (text == null) return null;
        Object host = Json.object(text).get("host");
        return daemons.stream().filter(d -> d.name.equals(host)).findFirst().orElse(null);
    }

    Daemon owner() throws CouldNotRun {
        Daemon owner = ownerOrNull();
        if (owner == null) throw new CouldNotRun("there is no owner");
        return owner;
    }

    void killDaemons() {
        for (Daemon daemon : daemons) {
            try {
                if (daemon.isRunning()) daemon.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static Map<String, Object> step(int count, long cpu, long memory, long estimateMillis) {
        return Json.of("count", count, "cpu", cpu, "mem_mb", memory, "estimate_ms", estimateMillis);
    }

    /** Submits a job at any daemon that answers, again after no answer; returns the last status. */
    int submit(String queue, String id, String spec, List<Map<String, Object>> steps) throws Exception {
        return submit(queue, id, spec, steps, Map.of());
    }

    int submit(String queue, String id, String spec, List<Map<String, Object>> steps, Map<String, Object> more) throws Exception {
        needs.put(id, steps.stream().map(s -> new Minion.Need(
            ((Number) s.get("cpu")).longValue(), ((Number) s.get("mem_mb")).longValue(),
            s.containsKey("gang") ? ((Number) s.get("count")).intValue() : 0, (String) s.get("requires"),
            ((Number) s.getOrDefault("anti_affinity", 0)).intValue(),
            s.containsKey("long_running"))).toList());
        Map<String, Object> job = Json.of("spec", spec, "steps", steps);
        job.putAll(more);
        String body = Json.write(job);
        int status = 0;
        for (int attempt = 0; attempt < 5 && status != 200; attempt++) {
            status = call("POST", "/" + queue + "/" + id, body, attempt).status();
            if (status != 200) Thread.sleep(300);
        }
        return status;
    }

    Http.Answer call(String method, String path, String body, int attempt) {
        List<Daemon> up = daemons.stream().filter(Daemon::isRunning).toList();
        Daemon daemon = up.get(attempt % up.size());
        Http.Answer answer = Http.call(daemon.ip, daemon.front, method, path, HOST, body);
        record(method + " " + path + " at " + daemon.name + " -> " + answer.status() + " "
            + (answer.body().length() > 200 ? "..." : answer.body()));
        return answer;
    }

    String state(String queue, String id) {
        for (int attempt = 0; attempt < 3; attempt++) {
            if (daemons.stream().noneMatch(Daemon::isRunning)) return "unknown, as no host runs";
            Http.Answer answer = call("GET", "/" + queue + "/" + id, null, attempt);
            if (answer.status() == 410) return "410";
            if (answer.status() == 200) return (String) Json.object(answer.body()).get("state");
        }
        return "no answer";
    }

    Minion.Need need(String task) {
        String[] parts = task.split("\\.");
        return needs.get(parts[0]).get(Integer.parseInt(parts[2]));
    }

    void onStart(Minion minion, String task, long run) {
        note(new Event(now(), "start", task, run, minion.lifeName(), "", 0));
    }

    void onEnd(Minion minion, String task, long run, long number, String how) {
        note(new Event(now(), "end", task, run, minion.lifeName(), how, number));
    }

    void onCrash(Minion minion) {
        note(new Event(now(), "crash", "", 0, minion.lifeName(), "", 0));
    }

    void onSeen(Minion minion, long number) {
        note(new Event(now(), "seen", "", 0, minion.lifeName(), "", number));
    }

    /** The jobs whose tasks always fail. */
    final Set<String> hopeless = ConcurrentHashMap.newKeySet();

    final List<String> notes = java.util.Collections.synchronizedList(new ArrayList<>());

    void note(String broken) {
        notes.add(broken);
        record("NOTE " + broken);
    }

    /** Whether run [run] of [task] fails, which is the same each time it is asked. */
    boolean fails(String task, long run) {
        if (hopeless.contains(task.substring(0, task.indexOf('.')))) return true;
        return Math.floorMod((task + "/" + run).hashCode() * 31, 1_000) < failShare * 1_000;
    }

    interface Action {
        Object run() throws Exception;
    }

    void later(long millis, Action action) {
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(millis);
                action.run();
            } catch (Exception e) {
                record("later: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void note(Event event) {
        synchronized (events) {
            events.add(event);
        }
        record(event.kind() + " " + event.minion()
            + (event.task().isEmpty() ? "" : " " + event.task() + " run " + event.run())
            + (event.number() == 0 ? "" : " number " + event.number())
            + (event.how().isEmpty() ? "" : " " + event.how()));
    }

    List<Event> events() {
        synchronized (events) {
            return List.copyOf(events);
        }
    }

    long startCount(String job) {
        return events().stream().filter(e -> e.kind().equals("start") && e.task().startsWith(job + ".")).count();
    }

    /**
     * Returns the starts that break TWICE: of a task of which a run had ended `done`, if that end was
     * taken note of, as `last_seen` reached it, then or later; or beside another run of the task. An
     * end that is acknowledged after the lease lapsed is not noted by the minion in the first place.
     */
    List<String> doubledStarts() {
        List<Event> all = events();
        Map<String, Boolean> seen = new TreeMap<>();
        for (Event event : all) {
            if (event.kind().equals("seen")) seen.put(event.minion() + "#" + event.number(), true);
        }
        Map<String, Event> done = new LinkedHashMap<>();
        Map<String, Event> open = new LinkedHashMap<>();
        List<String> broken = new ArrayList<>();
        for (Event event : all) {
            if (event.kind().equals("end")) {
                Event running = open.get(event.task());
                if (running != null && running.run() == event.run()) open.remove(event.task());
                boolean isSeen = seen.containsKey(event.minion() + "#" + event.number());
                if (event.how().equals("done") && isSeen) done.putIfAbsent(event.task(), event);
            }
            if (event.kind().equals("crash")) {
                open.values().removeIf(run -> run.minion().equals(event.minion()));
            }
            if (!event.kind().equals("start")) continue;
            Event before = done.get(event.task());
            Event beside = open.put(event.task(), event);
            if (before != null) {
                broken.add(event.task() + " run " + event.run() + " started on " + event.minion()
                    + " at " + event.atMillis() + " ms; run " + before.run() + " had ended done on "
                    + before.minion() + " at " + before.atMillis() + " ms");
            } else if (beside != null) {
                broken.add(event.task() + " run " + event.run() + " started on " + event.minion()
                    + " at " + event.atMillis() + " ms beside run " + beside.run() + " on " + beside.minion());
            }
        }
        return broken;
    }

    private void run() {
        long nextBeat = now() + HEARTBEAT_MILLIS;
        while (isOpen) {
            try {
                List<Minion> all = List.copyOf(minions);
                all.forEach(Minion::tick);
                if (now() >= nextBeat) {
                    nextBeat += HEARTBEAT_MILLIS;
                    all.forEach(Minion::beat);
                }
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                e.printStackTrace();
            }
        }
    }

    /** Ends all processes that were started. */
    @Override
    public void close() throws Exception {
        isOpen = false;
        killDaemons();
        String kept = System.getenv("KEEP_LOGS");
        if (kept != null) {
            for (Daemon daemon : daemons) {
                Files.copy(folder.resolve(daemon.name + ".log"), Path.of(kept, daemon.name + ".log"),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
        records.close();
    }

    /** Thrown if a case couldn't be set up, which says nothing of the rule. */
    static final class CouldNotRun extends Exception {
        CouldNotRun(String message) {
            super(message);
        }
    }
}
