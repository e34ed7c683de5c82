import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A sound store as PROTOCOL.md describes it: conditional writes, watches and leases, without limits of calls. */
final class Store implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_PAGE_ITEMS = 500;

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool(Daemon::thread);
    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 77_000;

    private record Lease(long lifetimeNanos, long endNanos) {}

    private record Answer(int status, ObjectNode body) {}

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
        executor.execute(this::expireLeases);
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes an item as the operator does; its return is the confirmation. */
    synchronized void put(String key, String value) {
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] request = exchange.getRequestBody().readAllBytes();
        Answer answer;
        try {
            answer = answer(exchange, request);
        } catch (InterruptedException e) {
            return;
        }
        byte[] body = answer.body().toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private synchronized Answer answer(HttpExchange exchange, byte[] request) throws IOException, InterruptedException {
        endLeases();
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        switch (path) {
            case "/kv-key":
                ObjectNode item = items.get(query.get("key"));
                return item == null
                        ? new Answer(404, JSON.createObjectNode().put("store_revision", revision))
                        : new Answer(200, item.deepCopy().put("store_revision", revision));
            case "/kv-range":
                return list(query.getOrDefault("path_prefix", ""), query.getOrDefault("after", ""));
            case "/kv-watch":
                return watch(
                        query.getOrDefault("path_prefix", ""),
                        Long.parseLong(query.get("after")),
                        Long.parseLong(query.getOrDefault("wait_ms", "30000")));
            case "/kv-txn":
                return transact(JSON.readTree(request));
            default:
                return lease(path, request);
        }
    }

    private Answer lease(String path, byte[] request) throws IOException {
        if (path.equals("/kv-lease")) {
            double seconds = JSON.readTree(request).path("ttl_s_time").asDouble();
            long lifetime = (long) (seconds * 1e9);
            leases.put(++lastLease, new Lease(lifetime, System.nanoTime() + lifetime));
            return new Answer(200, JSON.createObjectNode().put("lease", lastLease).put("ttl_s_time", seconds));
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Answer(404, JSON.createObjectNode());
        }
        boolean keep = path.startsWith("/kv-keep/");
        leases.put(id, new Lease(lease.lifetimeNanos(), System.nanoTime() + (keep ? lease.lifetimeNanos() : 0)));
        endLeases();
        return new Answer(200, JSON.createObjectNode().put("ttl_s_time", lease.lifetimeNanos() / 1e9));
    }

    private Answer list(String prefix, String after) {
        ObjectNode listing = JSON.createObjectNode().put("store_revision", revision);
        ArrayNode listed = listing.putArray("items");
        boolean more = false;
        for (Map.Entry<String, ObjectNode> entry : items.tailMap(after, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (listed.size() == MAX_PAGE_ITEMS) {
                more = true;
                break;
            }
            listed.add(entry.getValue());
        }
        return new Answer(200, listing.put("more_pages", more));
    }

    private Answer watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.min(waitMillis, 30_000));
        while (true) {
            ObjectNode changes = JSON.createObjectNode().put("store_revision", revision);
            ArrayNode listed = changes.putArray("events");
            for (ObjectNode event : events) {
                if (event.path("revision").asLong() > after
                        && event.path("key").asText().startsWith(prefix)) {
                    listed.add(event);
                }
            }
            long left = end - System.nanoTime();
            if (!listed.isEmpty() || left <= 0) {
                return new Answer(200, changes);
            }
            TimeUnit.NANOSECONDS.timedWait(this, left);
        }
    }

    private Answer transact(JsonNode transaction) {
        ObjectNode failed = JSON.createObjectNode();
        ArrayNode current = failed.putArray("items");
        boolean holds = true;
        for (JsonNode row : transaction.path("expect")) {
            ObjectNode item = items.get(row.path("key").asText());
            if (item != null) {
                current.add(item);
            }
            holds &= (item == null ? 0 : item.path("revision").asLong()) == row.path("revision").asLong();
        }
        if (!holds) {
            return new Answer(412, failed);
        }
        for (JsonNode written : transaction.path("writes")) {
            long lease = written.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Answer(404, JSON.createObjectNode());
            }
        }
        transaction.path("writes").forEach(written -> write(
                written.path("key").asText(),
                written.path("value").asText(),
                written.path("lease").asLong()));
        transaction.path("remove").forEach(key -> remove(key.asText()));
        return new Answer(200, JSON.createObjectNode().put("revision", revision));
    }

    private void write(String key, String value, long lease) {
        ObjectNode before = items.get(key);
        long created = before == null ? ++revision : before.path("created_rev").asLong();
        ObjectNode item = JSON.createObjectNode()
                .put("key", key)
                .put("value", value)
                .put("revision", before == null ? revision : ++revision)
                .put("created_rev", created)
                .put("lease", lease);
        items.put(key, item);
        events.add(item);
        notifyAll();
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            events.add(JSON.createObjectNode()
                    .put("key", key)
                    .put("revision", ++revision)
                    .put("removed", true));
            notifyAll();
        }
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                endLeases();
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void endLeases() {
        long now = System.nanoTime();
        if (leases.values().removeIf(lease -> lease.endNanos() - now <= 0)) {
            List.copyOf(items.values()).forEach(item -> {
                long lease = item.path("lease").asLong();
                if (lease != 0 && !leases.containsKey(lease)) {
                    remove(item.path("key").asText());
                }
            });
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> fields = new HashMap<>();
        for (String field : raw == null ? new String[0] : raw.split("&")) {
            int end = field.indexOf('=');
            fields.put(field.substring(0, end), URLDecoder.decode(field.substring(end + 1), StandardCharsets.UTF_8));
        }
        return fields;
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
