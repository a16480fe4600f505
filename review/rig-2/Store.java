import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it; it keeps all of its history. */
final class Store {
    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(String key, String value, long revision) {}

    private static final class Lease {
        long ttlMillis;
        long endMillis;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease;
    private final Http.Server server;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, 0, this::handle);
        Thread expiry = new Thread(this::expireLeases, "expiry");
        expiry.setDaemon(true);
        expiry.start();
    }

    int port() {
        return server.port();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private Http.Answer handle(HttpExchange exchange, String body) throws InterruptedException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = Http.query(exchange);
        switch (path) {
            case "/kv-key": return get(query.get("key"));
            case "/kv-range": return range(query.get("prefix"), query.getOrDefault("after", ""));
            case "/kv-watch":
                return watch(query.get("prefix"), Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("wait_ms")));
            case "/kv-txn": return commit(Json.object(body));
            case "/kv-lease": return grant((Long) Json.object(body).get("ttl_ms"));
            default:
        }
        String last = path.substring(path.lastIndexOf('/') + 1);
        if (path.startsWith("/kv-keep/")) return keep(Long.parseLong(last));
        if (path.startsWith("/kv-lease-end/")) return endLease(Long.parseLong(last));
        return new Http.Answer(400, "{}");
    }

    private static Map<String, Object> json(Item item) {
        return Json.of("key", item.key(), "value", item.value(), "revision", item.revision(),
            "created", item.created(), "lease", item.lease());
    }

    private synchronized Http.Answer get(String key) {
        Item item = items.get(key);
        if (item == null) return new Http.Answer(404, "{}");
        Map<String, Object> answer = json(item);
        answer.put("as_of", revision);
        return new Http.Answer(200, Json.write(answer));
    }

    private synchronized Http.Answer range(String prefix, String after) {
        List<Object> rows = new ArrayList<>();
        long size = 0;
        boolean hasMore = false;
        String from = after.isEmpty() ? prefix : after;
        for (Item item : items.tailMap(from, after.isEmpty()).values()) {
            if (!item.key().startsWith(prefix)) break;
            if (rows.size() >= 500 || size > 1_000_000) {
                hasMore = true;
                break;
            }
            rows.add(json(item));
            size += item.value().length();
        }
        return new Http.Answer(200,
            Json.write(Json.of("items", rows, "has_more", hasMore, "as_of", revision)));
    }

    private synchronized Http.Answer watch(String prefix, long after, long waitMillis)
        throws InterruptedException {
        long deadline = now() + waitMillis;
        while (true) {
            List<Object> events = new ArrayList<>();
            int from = history.size();
            while (from > 0 && history.get(from - 1).revision() > after) from--;
            for (Event event : history.subList(from, history.size())) {
                if (!event.key().startsWith(prefix)) continue;
                events.add(event.value() == null
                    ? Json.of("key", event.key(), "revision", event.revision(), "deleted", true)
                    : Json.of("key", event.key(), "value", event.value(),
                        "revision", event.revision()));
            }
            long left = deadline - now();
            if (!events.isEmpty() || left <= 0) {
                return new Http.Answer(200, Json.write(Json.of("events", events, "as_of", revision)));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer commit(Map<String, Object> request) {
        List<Object> expected = (List<Object>) request.getOrDefault("expected", List.of());
        List<Object> puts = (List<Object>) request.getOrDefault("puts", List.of());
        List<Object> deletes = (List<Object>) request.getOrDefault("delete", List.of());
        if (expected.size() + puts.size() + deletes.size() > 32) return new Http.Answer(400, "{}");
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : expected) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get((String) condition.get("key"));
            if (item != null) current.add(json(item));
            holds &= (item == null ? 0 : item.revision()) == (Long) condition.get("revision");
        }
        if (!holds) return new Http.Answer(412, Json.write(Json.of("items", current)));
        for (Object row : puts) {
            Long lease = (Long) ((Map<String, Object>) row).get("lease");
            if (lease != null && lease != 0 && !leases.containsKey(lease)) {
                return new Http.Answer(404, "{}");
            }
        }
        revision++;
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            Long lease = (Long) put.get("lease");
            set((String) put.get("key"), (String) put.get("value"), lease == null ? 0 : lease);
        }
        for (Object key : deletes) remove((String) key);
        notifyAll();
        return new Http.Answer(200, Json.write(Json.of("revision", revision)));
    }

    private void set(String key, String value, long lease) {
        Item before = items.get(key);
        items.put(key, new Item(key, value, revision, before == null ? revision : before.created(), lease));
        history.add(new Event(key, value, revision));
    }

    private void remove(String key) {
        if (items.remove(key) != null) history.add(new Event(key, null, revision));
    }

    private synchronized Http.Answer grant(long ttlMillis) {
        Lease lease = new Lease();
        lease.ttlMillis = ttlMillis;
        lease.endMillis = now() + ttlMillis;
        leases.put(++lastLease, lease);
        return new Http.Answer(200, Json.write(Json.of("lease", lastLease, "ttl_ms", ttlMillis)));
    }

    private synchronized Http.Answer keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Answer(404, "{}");
        lease.endMillis = now() + lease.ttlMillis;
        return new Http.Answer(200, Json.write(Json.of("ttl_ms", lease.ttlMillis)));
    }

    private synchronized Http.Answer endLease(long id) {
        if (leases.remove(id) == null) return new Http.Answer(404, "{}");
        dropKeysOf(id);
        return new Http.Answer(200, "{}");
    }

    private void dropKeysOf(long lease) {
        List<String> keys = items.values().stream().filter(i -> i.lease() == lease)
            .map(Item::key).toList();
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::remove);
        notifyAll();
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = now();
                List<Long> ended = leases.entrySet().stream()
                    .filter(e -> e.getValue().endMillis < now).map(Map.Entry::getKey).toList();
                for (Long id : ended) {
                    leases.remove(id);
                    dropKeysOf(id);
                }
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Writes [value] at [key], as the platform or the operator does. */
    synchronized void put(String key, Object value) {
        revision++;
        byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
        set(key, Base64.getEncoder().encodeToString(bytes), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    /** Returns the text at [key], or null. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null
            : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }
}
