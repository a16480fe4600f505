import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A small deployment on loopback addresses: the platform's store, minions and entry hosts.
 *
 * The entry hosts are processes started with the command and the settings template of the deploy
 * file; the store and the minions are stand-ins in this process.
 */
final class Rig implements AutoCloseable {
    interface Action {
        void run() throws Exception;
    }

    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String SERVICE = "huvo11a";
    /** The prefix of the keys that the entry hosts write. */
    private static final String PROJECT_KEYS = "sycamore/";
    private static final long START_NANOS = System.nanoTime();
    private static BufferedWriter record;

    final Store store = new Store();
    final List<Host> hosts = new ArrayList<>();
    final List<Minion> minions = new ArrayList<>();
    final Ledger ledger = new Ledger();
    private final Path work;
    private final Path root;
    private long version = 6;

    Rig(Path folder) throws IOException {
        root = Path.of("").toAbsolutePath();
        work = Files.createTempDirectory("review-rig");
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> hosts.forEach(Host::end)));
    }

    /** Milliseconds of the steady clock since the start. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static void thread(String name, Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException e) {
                // The connection or the listener was closed.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    static void say(String text) {
        String line = String.format("%8.3f  %s", now() / 1_000.0, text);
        synchronized (Rig.class) {
            try {
                record.write(line);
                record.newLine();
                record.flush();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Says [text] in the record and on standard output. */
    static void tell(String text) {
        say(text);
        System.out.println(text);
    }

    static boolean await(long millis, Supplier<Boolean> condition) throws InterruptedException {
        long until = now() + millis;
        while (now() < until) {
            if (condition.get()) return true;
            Thread.sleep(20);
        }
        return condition.get();
    }

    /** Writes the configuration with one queue and one service. */
    void configure(int maxAttempts) {
        configure(maxAttempts, "");
    }

    /** Writes the configuration with one queue, further [routes], and one service. */
    void configure(int maxAttempts, String routes) {
        store.put("op/config", "{\"version\":" + (++version) + ",\"routes\":[{\"name\":\"r-3hwrr6x\",\"host\":\"" + HOST
            + "\",\"prefix\":\"" + PREFIX + "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":1000,"
            + "\"priority\":0,\"service\":\"" + SERVICE + "\",\"max_attempts\":" + maxAttempts + ",\"stretch\":2.0}" + routes + "],"
            + "\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/health\",\"max_conns\":64,"
            + "\"protocol\":\"h1\",\"tls\":false,\"rejects_overload\":true,\"standby\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}");
    }

    void addMinions(int count) throws IOException {
        for (int i = 0; i < count; i++) minions.add(new Minion(this, i));
    }

    void addHosts(int count) throws Exception {
        for (int i = 0; i < count; i++) hosts.add(new Host(i));
        for (Host host : hosts) host.start();
        for (Host host : hosts) {
            if (!await(30_000, host::isReady)) throw new IllegalStateException(host.name + " is not ready");
        }
        say("all hosts are ready");
    }

    /** Returns the host that the owner's key names, or null. */
    Host owner() {
        String text = store.text(PROJECT_KEYS + "work/owner/0");
        if (text == null) return null;
        for (Host host : hosts) if (text.contains("\"" + host.name + "\"")) return host;
        return null;
    }

    /** Returns the record of the owners' epochs: each owner raises it. */
    String epoch() {
        return store.text(PROJECT_KEYS + "epoch/0");
    }

    @Override
    public void close() {
        hosts.forEach(Host::end);
        hosts.forEach(Host::keepLog);
        try (java.util.stream.Stream<Path> files = Files.list(work)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            e.printStackTrace();
        }
        work.toFile().delete();
    }

    /** An entry host: one process of the deploy file's role. */
    final class Host {
        final String name;
        final String ip;
        final int front;
        final int readiness;
        final HttpPort storePort;
        /** Replaces the store for this host if not null; see [HttpPort.Handler]. */
        volatile HttpPort.Handler trouble;
        private final Path settings;
        private final Path log;
        private Process process;

        Host(int number) throws IOException {
            ip = "127.0.31." + (number + 1);
            front = freePort();
            readiness = freePort();
            name = "front-" + "abc".charAt(number % 3) + "-" + (number + 1);
            storePort = new HttpPort("127.0.30.1", 0, r -> {
                HttpPort.Handler handler = trouble;
                return handler == null ? store.handle(r) : handler.handle(r);
            });
            settings = work.resolve(name + ".ini");
            log = work.resolve(name + ".txt");
            Map<String, String> fields = new HashMap<>();
            fields.put("node", name);
            fields.put("zone", "z" + number % 3);
            fields.put("listen_addrs.front", ip + ":" + front);
            fields.put("listen_addrs.readiness", ip + ":" + readiness);
            fields.put("ip", ip);
            fields.put("port_range.0", "" + freePort());
            fields.put("port_range.1", "" + freePort());
            fields.put("limits.cpu_share", "0.75");
            fields.put("limits.cores", "1");
            fields.put("platform.address", storePort.hostAndPort());
            fields.put("bounds.max_hold_ms", "6000");
            fields.put("bounds.stop_timeout_ms", "200");
            String text = Files.readString(root.resolve("deploy/settings.ini"));
            for (Map.Entry<String, String> e : fields.entrySet()) text = text.replace("{{" + e.getKey() + "}}", e.getValue());
            Files.writeString(settings, text);
        }

        private int freePort() throws IOException {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
                return socket.getLocalPort();
            }
        }

        void start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = ")) run = line.substring(7, line.length() - 1);
            }
            ProcessBuilder builder = new ProcessBuilder(run.split(" ")).directory(root.toFile());
            builder.environment().put("SYCAMOREMAST_SETTINGS", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            say("host " + name + " starts, process " + process.pid());
        }

        boolean isReady() {
            try {
                return new Client(ip, readiness).call("GET", "/ready", null, 500).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Ends the process by SIGKILL. */
        void kill() throws InterruptedException {
            say("host " + name + " gets SIGKILL");
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }

        void end() {
            if (process != null) process.destroyForcibly();
        }

        private void keepLog() {
            String keep = System.getenv("KEEP_LOGS");
            if (keep == null) return;
            try {
                Files.createDirectories(Path.of(keep));
                Files.copy(log, Path.of(keep, name + ".txt"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException e) {
                e.printStackTrace();
            }
        }

        Client client() {
            return new Client(ip, front);
        }

        /** Submits a job; returns the status, or 0 without an answer. */
        int submit(String id, String body) {
            return status("POST", PREFIX + id, body);
        }

        int cancel(String id) {
            return status("DELETE", PREFIX + id, null);
        }

        private int status(String method, String path, String body) {
            try {
                int status = client().call(method, path, body, 3_000).status;
                say(method + " " + path + " at " + name + ": " + status);
                return status;
            } catch (IOException e) {
                say(method + " " + path + " at " + name + ": no answer (" + e.getMessage() + ")");
                return 0;
            }
        }

        /** Returns the state of a job, "gone" for a 410, or "none" without an answer. */
        String state(String id) {
            String state = quietState(id);
            say("GET " + PREFIX + id + " at " + name + ": " + state);
            return state;
        }

        String quietState(String id) {
            try {
                HttpPort.Response response = client().call("GET", PREFIX + id, null, 3_000);
                if (response.status == 410) return "gone";
                if (response.status != 200) return "status " + response.status;
                return (String) Json.object(response.body).get("state");
            } catch (IOException e) {
                return "none";
            }
        }
    }

    /** Sends requests, each over a connection of its own unless it is kept. */
    static final class Client implements AutoCloseable {
        private final InetSocketAddress address;
        private Socket socket;
        private boolean isKept;

        Client(String ip, int port) {
            address = new InetSocketAddress(ip, port);
        }

        Client kept() {
            isKept = true;
            return this;
        }

        void connect(int timeoutMillis) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(address, timeoutMillis);
        }

        HttpPort.Response call(String method, String path, String body, int timeoutMillis) throws IOException {
            if (socket == null) connect(timeoutMillis);
            try {
                socket.setSoTimeout(timeoutMillis);
                byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nDeadline-Ms: " + timeoutMillis
                    + (body == null ? "" : "\r\nContent-Type: application/json")
                    + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
                java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
                all.write(head.getBytes(StandardCharsets.ISO_8859_1));
                all.write(bytes);
                OutputStream out = socket.getOutputStream();
                out.write(all.toByteArray());
                out.flush();
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String first = HttpPort.line(in);
                if (first == null) throw new IOException("closed");
                int status = Integer.parseInt(first.split(" ")[1]);
                int length = 0;
                for (String line = HttpPort.line(in); line != null && !line.isEmpty(); line = HttpPort.line(in)) {
                    String lower = line.toLowerCase();
                    if (lower.startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
                }
                String text = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                if (!isKept) close();
                return new HttpPort.Response(status, text);
            } catch (IOException e) {
                close();
                throw e;
            }
        }

        @Override
        public void close() throws IOException {
            if (socket != null) socket.close();
            socket = null;
        }
    }
}
