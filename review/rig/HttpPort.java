import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A plain HTTP/1.1 server on a loopback address, with a thread for each connection. */
final class HttpPort {
    static final class Request {
        String method;
        String path;
        final Map<String, String> query = new HashMap<>();
        final Map<String, String> headers = new HashMap<>();
        String body;

        long number(String key, long otherwise) {
            String value = query.get(key);
            return value == null ? otherwise : Long.parseLong(value);
        }
    }

    static final class Response {
        final int status;
        final String body;

        Response(int status, String body) {
            this.status = status;
            this.body = body;
        }
    }

    /** Leaves a request without an answer; the connection is silent from then on. */
    static final Response NO_ANSWER = new Response(0, "");

    /** Answers a request; null resets the connection. */
    interface Handler {
        Response handle(Request request) throws Exception;
    }

    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    final InetSocketAddress address;

    HttpPort(String ip, int port, Handler handler) throws IOException {
        this.handler = handler;
        ServerSocket socket = bind(ip, port);
        address = (InetSocketAddress) socket.getLocalSocketAddress();
        listen(socket);
    }

    private static ServerSocket bind(String ip, int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
        return socket;
    }

    String hostAndPort() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void listen(ServerSocket socket) {
        listener = socket;
        Rig.thread("accept " + address, () -> {
            while (!socket.isClosed()) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Rig.thread("serve", () -> serve(connection));
            }
        });
    }

    /** Resets all connections and refuses new ones. */
    void close() throws IOException {
        listener.close();
        for (Socket socket : connections) reset(socket);
    }

    void open() throws IOException {
        listen(bind(address.getAddress().getHostAddress(), address.getPort()));
    }

    /** Silences all open connections for good, without a reset; new ones work. Returns their number. */
    int silence() {
        silent.addAll(connections);
        return silent.size();
    }

    private void reset(Socket socket) {
        connections.remove(socket);
        silent.remove(socket);
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Request request = read(in);
                if (request == null) break;
                if (silent.contains(socket)) continue;
                Response response = handler.handle(request);
                if (silent.contains(socket)) continue;
                if (response == null) break;
                if (response == NO_ANSWER) {
                    silent.add(socket);
                    continue;
                }
                byte[] body = response.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + response.status + " -\r\nContent-Type: application/json\r\n"
                    + "Content-Length: " + body.length + "\r\n\r\n";
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write(head.getBytes(StandardCharsets.ISO_8859_1));
                all.write(body);
                out.write(all.toByteArray());
                out.flush();
            }
        } catch (Exception e) {
            if (!(e instanceof IOException)) e.printStackTrace();
        } finally {
            reset(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        Request request = new Request();
        String[] parts = first.split(" ");
        request.method = parts[0];
        String[] target = parts[1].split("\\?", 2);
        request.path = target[0];
        if (target.length == 2) {
            for (String pair : target[1].split("&")) {
                String[] entry = pair.split("=", 2);
                String value = entry.length == 2 ? entry[1] : "";
                request.query.put(entry[0], URLDecoder.decode(value, StandardCharsets.UTF_8));
            }
        }
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            request.headers.put(name, line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(request.headers.getOrDefault("content-length", "0"));
        request.body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        return request;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) return null;
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}
