package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.trefoilledge.core.Clock;

/**
 * An in-memory stand-in for the platform's store. It implements the part of the etcd v3 JSON gateway that the store
 * client uses, limits call rates and value sizes (1 MiB), and injects faults.
 */
public final class StoreStandin implements AutoCloseable {
    static final String CLIENT_HEADER = "Trefoilledge-Client";

    private final StoreLimits limits;
    private final TokenBucket writeLimiter;
    private final TokenBucket readLimiter;
    private final EtcdGateway gateway = new EtcdGateway(this::notifyWatchers);
    private final Set<Watcher> watchers = ConcurrentHashMap.newKeySet();
    private final Map<String, LongAdder> callCounts = new ConcurrentHashMap<>();
    private final ScheduledThreadPoolExecutor timer = Timers.create("store-timer");
    private final StandinServer server;
    private volatile StoreFaults faults = StoreFaults.NONE;

    /**
     * Starts a store with {@link StoreLimits#PLATFORM} on a free port of 127.0.0.1.
     *
     * @throws IOException if no port can be bound
     */
    public static StoreStandin start() throws IOException {
        return start("127.0.0.1:0", StoreLimits.PLATFORM);
    }

    /**
     * Starts a store.
     *
     * @param listen IP address and port; port 0 selects a free port
     * @throws IOException if the address cannot be bound
     */
    public static StoreStandin start(String listen, StoreLimits limits) throws IOException {
        StoreStandin store = new StoreStandin(Addresses.parse(listen), limits);
        store.server.start();
        return store;
    }

    private StoreStandin(InetSocketAddress listen, StoreLimits limits) {
        this.limits = limits;
        writeLimiter = new TokenBucket(limits.writesPerSecond(), Clock.system());
        readLimiter = new TokenBucket(limits.readsPerSecond(), Clock.system());
        server = new StandinServer("store", listen, new RequestHandler(), ServerConnector::new);
    }

    /** Returns the port that the store listens on. */
    public int port() {
        return server.port();
    }

    /** Returns the base URL of the store. */
    public String endpoint() {
        return "http://" + server.host() + ":" + port();
    }

    /** Replaces the faults and closes the watches of clients that are now blocked. */
    public void apply(StoreFaults replacement) {
        faults = replacement;
        watchers.stream()
                .filter(watcher -> replacement.blocks(watcher.clientHeader()))
                .forEach(Watcher::close);
    }

    /** Returns the current faults. */
    public StoreFaults faults() {
        return faults;
    }

    /** Saves a copy of the content for {@link #restore()}, in place of any earlier copy. */
    public void save() {
        gateway.save();
    }

    /** Restores the content and revision of the last {@link #save()}, or an empty store, and closes all watches. */
    public void restore() {
        gateway.restore();
        watchers.forEach(Watcher::close);
    }

    /** Returns the number of received calls by kind (range, put, txn, watch), and of rate-limited ones as refused. */
    public Map<String, Long> callCounts() {
        Map<String, Long> counts = new TreeMap<>();
        callCounts.forEach((kind, count) -> counts.put(kind, count.sum()));
        return counts;
    }

    /** Closes all connections and stops the server. */
    @Override
    public void close() {
        watchers.forEach(Watcher::close);
        timer.shutdownNow();
        server.close();
    }

    private void notifyWatchers(KeyValueStore.KeyValue item) {
        double dropProbability = faults.dropWatchEvents();
        watchers.removeIf(Watcher::closed);
        for (Watcher watcher : watchers) {
            if (!trueWithProbability(dropProbability)) {
                watcher.sendEvent(item, gateway.header());
            }
        }
    }

    private void handleCall(Exchange exchange, byte[] body) {
        String kind = callKind(exchange.path());
        if (kind.isEmpty()) {
            exchange.sendError(new StandinException(404, 5, "Not Found"));
            return;
        }
        countCall(kind);
        boolean isWrite = kind.equals("put") || kind.equals("txn");
        if (faults.blocks(exchange.header(CLIENT_HEADER))) {
            exchange.abort();
            return;
        }
        if (!(isWrite ? writeLimiter : readLimiter).tryAcquire()) {
            countCall("refused");
            exchange.sendError(new StandinException(429, 8, "etcdserver: too many requests"));
            return;
        }
        long delay = limits.latencyMillis() + faults.delayMillis();
        Timers.schedule(timer, () -> execute(exchange, kind, body), delay, TimeUnit.MILLISECONDS);
    }

    private void execute(Exchange exchange, String kind, byte[] body) {
        try {
            JsonNode message = Exchange.parseObject(body);
            switch (kind) {
                case "range" -> respond(exchange, gateway.range(message), false);
                case "watch" -> startWatch(exchange, message);
                case "put" -> respond(exchange, gateway.put(message), trueWithProbability(faults.loseWriteAnswers()));
                default ->
                    respond(exchange, gateway.transaction(message), trueWithProbability(faults.loseWriteAnswers()));
            }
        } catch (StandinException e) {
            exchange.sendError(e);
        }
    }

    /** Sends the response, unless it is lost or the client was blocked during the call, which took effect anyway. */
    private void respond(Exchange exchange, ObjectNode response, boolean lost) {
        if (lost || faults.blocks(exchange.header(CLIENT_HEADER))) {
            exchange.abort();
            return;
        }
        exchange.sendJson(200, response);
    }

    private void startWatch(Exchange exchange, JsonNode message) throws StandinException {
        JsonNode create = message.path("create_request");
        String rangeStart = EtcdGateway.decodeBytes(create, "key");
        Watcher watcher = new Watcher(exchange, rangeStart, EtcdGateway.decodeBytes(create, "range_end"));
        gateway.runExclusively(() -> {
            watcher.sendCreated(gateway.header());
            watchers.add(watcher);
        });
        if (faults.blocks(watcher.clientHeader())) {
            watcher.close();
        }
    }

    private void handleControl(Exchange exchange, byte[] body) {
        try {
            switch (exchange.method() + " " + exchange.path()) {
                case "PUT /.standin/settings" ->
                    apply(Settings.merge(faults, Exchange.parseObject(body), StoreFaults.class));
                case "POST /.standin/save" -> save();
                case "POST /.standin/restore" -> restore();
                case "GET /.standin/settings", "GET /.standin/calls" -> {}
                default -> throw new StandinException(404, 0, "no such control call");
            }
            boolean counts = exchange.path().endsWith("/calls");
            exchange.sendJson(200, Exchange.MAPPER.valueToTree(counts ? callCounts() : faults));
        } catch (StandinException e) {
            exchange.sendError(e);
        }
    }

    private void countCall(String kind) {
        callCounts.computeIfAbsent(kind, k -> new LongAdder()).increment();
    }

    private static boolean trueWithProbability(double probability) {
        return probability > 0 && ThreadLocalRandom.current().nextDouble() < probability;
    }

    private static String callKind(String path) {
        return switch (path) {
            case "/v3/kv/range" -> "range";
            case "/v3/kv/put" -> "put";
            case "/v3/kv/txn" -> "txn";
            case "/v3/watch" -> "watch";
            default -> "";
        };
    }

    private final class RequestHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Exchange exchange = new Exchange(request, response, callback);
            exchange.readBody(body -> {
                if (exchange.path().startsWith("/.standin/")) {
                    handleControl(exchange, body);
                } else {
                    handleCall(exchange, body);
                }
            });
            return true;
        }
    }
}
