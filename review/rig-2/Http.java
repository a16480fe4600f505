import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers for the stand-ins and a client for the callers; loopback addresses only. */
final class Http {
    record Answer(int status, String body) {}

    interface Handler {
        Answer handle(HttpExchange exchange, String body) throws Exception;
    }

    private Http() {}

    /** A server whose threads end with it. */
    static final class Server {
        private final HttpServer server;
        private final ExecutorService threads = Executors.newCachedThreadPool(run -> {
            Thread thread = new Thread(run, "http");
            thread.setDaemon(true);
            return thread;
        });

        Server(String ip, int port, Handler handler) throws IOException {
            server = HttpServer.create(new InetSocketAddress(ip, port), 1_000);
            server.setExecutor(threads);
            server.createContext("/", exchange -> {
                try (exchange) {
                    String body = new String(
                        exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                    Answer answer = handler.handle(exchange, body);
                    if (answer == null) return;
                    byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
                    exchange.getResponseHeaders().set("Content-Type", "application/json");
                    exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
                    exchange.getResponseBody().write(bytes);
                } catch (IOException | InterruptedException e) {
                    // The caller or this server is gone.
                } catch (Exception e) {
                    e.printStackTrace();
                }
            });
            server.start();
        }

        int port() {
            return server.getAddress().getPort();
        }

        void stop() {
            server.stop(0);
            threads.shutdownNow();
        }
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) return query;
        for (String part : raw.split("&")) {
            int i = part.indexOf('=');
            query.put(part.substring(0, i),
                URLDecoder.decode(part.substring(i + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** Sends one request on a connection of its own; status 0 means that no answer came. */
    static Answer call(String ip, int port, String method, String path, String host, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(3_000);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host
                + "\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\nConnection: close\r\n"
                + "Content-Length: " + bytes.length + "\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.flush();
            InputStream in = socket.getInputStream();
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            if (!text.startsWith("HTTP/1.1 ")) return new Answer(0, "");
            int end = text.indexOf("\r\n\r\n");
            return new Answer(Integer.parseInt(text.substring(9, 12)),
                end < 0 ? "" : text.substring(end + 4));
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()));
        }
    }
}
