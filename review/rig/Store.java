import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
    private static final long ANSWER_MILLIS = 4;
    private static final long HISTORY_MILLIS = 20_000;
    private static final int MAX_ITEMS = 500;
    private static final int MAX_BYTES = 1_000_000;
    private static final int MAX_ENTRIES = 32;
    private static final int WRITES_PER_S = 400;
    private static final int READS_PER_S = 2_000;

    private static final class Item {
        final String value;
        final long revision;
        final long created;
        final long lease;

        Item(String value, long revision, long created, long lease) {
            this.value = value;
            this.revision = revision;
            this.created = created;
            this.lease = lease;
        }
    }

    private static final class Event {
        final String key;
        final Item item;
        final long revision;
        final long atMillis;

        Event(String key, Item item, long revision, long atMillis) {
            this.key = key;
            this.item = item;
            this.revision = revision;
            this.atMillis = atMillis;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    private long compacted = 100;
    private long lastLease = 1_000;
    private long second;
    private int writes;
    private int reads;
    int mostWrites;
    int mostReads;
    int refused;

    Store() {
        Rig.thread("store", () -> {
            while (true) {
                Thread.sleep(20);
                expire();
            }
        });
    }

    private synchronized void expire() {
        long now = Rig.now();
        for (Map.Entry<Long, long[]> e : new ArrayList<>(leases.entrySet())) {
            if (e.getValue()[1] <= now) end(e.getKey());
        }
        while (!history.isEmpty() && history.peek().atMillis < now - HISTORY_MILLIS) {
            compacted = history.poll().revision;
        }
    }

    private void end(long lease) {
        if (leases.remove(lease) == null) return;
        revision++;
        for (Map.Entry<String, Item> e : new ArrayList<>(items.entrySet())) {
            if (e.getValue().lease == lease) remove(e.getKey());
        }
        notifyAll();
    }

    private void remove(String key) {
        if (items.remove(key) != null) history.add(new Event(key, null, revision, Rig.now()));
    }

    private void set(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(value, revision, old == null ? revision : old.created, lease);
        items.put(key, item);
        history.add(new Event(key, item, revision, Rig.now()));
    }

    /** Writes a key for the operator or a minion. */
    synchronized void put(String key, String text) {
        revision++;
        set(key, Base64.getEncoder().encodeToString(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value));
    }

    synchronized int count(String prefix) {
        int n = 0;
        for (String key : items.tailMap(prefix).keySet()) {
            if (!key.startsWith(prefix)) break;
            n++;
        }
        return n;
    }

    private static Map<String, Object> json(String key, Item item) {
        return Json.of("key", key, "value", item.value, "revision", item.revision,
            "created", item.created, "lease", item.lease);
    }

    private synchronized boolean admit(boolean isWrite) {
        long now = Rig.now() / 1_000;
        if (now != second) {
            second = now;
            writes = 0;
            reads = 0;
        }
        if (isWrite ? ++writes > WRITES_PER_S : ++reads > READS_PER_S) {
            refused++;
            return false;
        }
        mostWrites = Math.max(mostWrites, writes);
        mostReads = Math.max(mostReads, reads);
        return true;
    }

    HttpPort.Response handle(HttpPort.Request r) throws Exception {
        Thread.sleep(ANSWER_MILLIS);
        boolean isStale = "1".equals(r.query.get("stale_ok"));
        boolean isWrite = r.path.equals("/kv-txn");
        if (!isStale && !r.path.startsWith("/kv-keep/") && !admit(isWrite)) return new HttpPort.Response(429, "{}");
        switch (r.path) {
            case "/kv-key":
                return get(r.query.get("key"));
            case "/kv-range":
                return range(r.query.get("prefix"), r.query.getOrDefault("after", ""));
            case "/kv-watch":
                return watch(r.query.get("prefix"), r.number("after", 0), r.number("wait_ms", 0));
            case "/kv-txn":
                return commit(Json.object(r.body));
            case "/kv-lease":
                return grant(Json.number(Json.object(r.body), "ttl_ms", 1_000));
            default:
                if (r.path.startsWith("/kv-keep/")) return keep(Long.parseLong(r.path.substring(9)));
                if (r.path.startsWith("/kv-lease-end/")) return endLease(Long.parseLong(r.path.substring(14)));
                return new HttpPort.Response(404, "{}");
        }
    }

    private synchronized HttpPort.Response get(String key) {
        Item item = items.get(key);
        if (item == null) return new HttpPort.Response(404, "{\"as_of\":" + revision + "}");
        Map<String, Object> body = json(key, item);
        body.put("as_of", revision);
        return new HttpPort.Response(200, Json.write(body));
    }

    private HttpPort.Response range(String prefix, String after) {
        List<Object> page = new ArrayList<>();
        boolean hasMore = false;
        long asOf;
        synchronized (this) {
            asOf = revision;
            long bytes = 0;
            String from = after.compareTo(prefix) > 0 ? after : prefix;
            for (Map.Entry<String, Item> e : items.tailMap(from).entrySet()) {
                if (!e.getKey().startsWith(prefix)) break;
                if (e.getKey().compareTo(after) <= 0 && !after.isEmpty()) continue;
                if (page.size() == MAX_ITEMS || bytes > MAX_BYTES) {
                    hasMore = true;
                    break;
                }
                page.add(json(e.getKey(), e.getValue()));
                bytes += e.getValue().value.length() + e.getKey().length();
            }
        }
        return new HttpPort.Response(200, Json.write(Json.of("items", page, "has_more", hasMore, "as_of", asOf)));
    }

    private HttpPort.Response watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long until = Rig.now() + waitMillis;
        List<Object> events = new ArrayList<>();
        long asOf;
        synchronized (this) {
            while (true) {
                if (after < compacted) return new HttpPort.Response(410, "{}");
                for (Event e : history) {
                    if (e.revision <= after || !e.key.startsWith(prefix)) continue;
                    events.add(e.item == null
                        ? Json.of("key", e.key, "revision", e.revision, "deleted", true)
                        : json(e.key, e.item));
                }
                long left = until - Rig.now();
                if (!events.isEmpty() || left <= 0) break;
                wait(left);
            }
            asOf = revision;
        }
        return new HttpPort.Response(200, Json.write(Json.of("events", events, "as_of", asOf)));
    }

    @SuppressWarnings("unchecked")
    private synchronized HttpPort.Response commit(Map<String, Object> body) {
        List<Object> expected = (List<Object>) body.getOrDefault("expected", List.of());
        List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
        List<Object> deletes = (List<Object>) body.getOrDefault("delete", List.of());
        if (expected.size() + puts.size() + deletes.size() > MAX_ENTRIES) return new HttpPort.Response(400, "{}");
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : expected) {
            Map<String, Object> e = (Map<String, Object>) row;
            Item item = items.get((String) e.get("key"));
            holds &= (item == null ? 0 : item.revision) == Json.number(e, "revision", 0);
            if (item != null) current.add(json((String) e.get("key"), item));
        }
        if (!holds) return new HttpPort.Response(412, Json.write(Json.of("items", current)));
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            String key = (String) put.get("key");
            if (key.startsWith("op/") || key.startsWith("servers/")) return new HttpPort.Response(403, "{}");
            long lease = Json.number(put, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) return new HttpPort.Response(404, "{}");
        }
        revision++;
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            set((String) put.get("key"), (String) put.getOrDefault("value", ""), Json.number(put, "lease", 0));
        }
        for (Object key : deletes) remove((String) key);
        notifyAll();
        return new HttpPort.Response(200, Json.write(Json.of("revision", revision)));
    }

    private synchronized HttpPort.Response grant(long ttl) {
        leases.put(++lastLease, new long[] {ttl, Rig.now() + ttl});
        return new HttpPort.Response(200, Json.write(Json.of("lease", lastLease, "ttl_ms", ttl)));
    }

    private synchronized HttpPort.Response keep(long id) {
        long[] lease = leases.get(id);
        if (lease == null) return new HttpPort.Response(404, "{}");
        lease[1] = Rig.now() + lease[0];
        return new HttpPort.Response(200, Json.write(Json.of("ttl_ms", lease[0])));
    }

    private synchronized HttpPort.Response endLease(long id) {
        if (!leases.containsKey(id)) return new HttpPort.Response(404, "{}");
        end(id);
        return new HttpPort.Response(200, "{}");
    }
}
