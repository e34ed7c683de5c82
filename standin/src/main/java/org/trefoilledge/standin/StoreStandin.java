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
 * A stand-in for the platform's store: the part of the etcd v3 JSON gateway that the store client uses, in memory, with
 * limited rates, values up to 1 MB, and faults on request.
 */
public final class StoreStandin implements AutoCloseable {
    static final String CLIENT_HEADER = "Trefoilledge-Client";

    private final StoreLimits limits;
    private final CallRate writes;
    private final CallRate reads;
    private final Gateway gateway = new Gateway(this::changed);
    private final Set<Watcher> watchers = ConcurrentHashMap.newKeySet();
    private final Map<String, LongAdder> calls = new ConcurrentHashMap<>();
    private final ScheduledThreadPoolExecutor timer = Timers.create("store-timer");
    private final StandinServer server;
    private volatile StoreFaults faults = StoreFaults.NONE;

    /**
     * Starts a store on a free port of 127.0.0.1.
     *
     * @throws IOException if no port can be bound
     */
    public static StoreStandin start() throws IOException {
        return start("127.0.0.1:0", StoreLimits.PLATFORM);
    }

    /**
     * Starts a store.
     *
     * @param listen IP address and port; port 0 takes a free one
     * @throws IOException if the address cannot be bound
     */
    public static StoreStandin start(String listen, StoreLimits limits) throws IOException {
        StoreStandin store = new StoreStandin(Addresses.parse(listen), limits);
        store.server.start();
        return store;
    }

    private StoreStandin(InetSocketAddress listen, StoreLimits limits) {
        this.limits = limits;
        writes = new CallRate(limits.writesPerSecond(), Clock.system());
        reads = new CallRate(limits.readsPerSecond(), Clock.system());
        server = new StandinServer("store", listen, new Calls(), ServerConnector::new);
    }

    /** Returns the port that the store listens on. */
    public int port() {
        return server.port();
    }

    /** Returns the store's base address for the store client. */
    public String endpoint() {
        return "http://" + server.host() + ":" + port();
    }

    /** Replaces the faults. Watches of clients that are now blocked end. */
    public void apply(StoreFaults replacement) {
        faults = replacement;
        watchers.stream()
                .filter(watcher -> replacement.blocks(watcher.client()))
                .forEach(Watcher::close);
    }

    /** Returns the present faults. */
    public StoreFaults faults() {
        return faults;
    }

    /** Keeps a copy of the content for {@link #restore()}. */
    public void save() {
        gateway.save();
    }

    /** Replaces the content and its revision by the copy that was kept last, empty if there is none. Watches end. */
    public void restore() {
        gateway.restore();
        watchers.forEach(Watcher::close);
    }

    /** Returns how many calls arrived, by kind: range, put, txn, watch, and refused for those above the rates. */
    public Map<String, Long> calls() {
        Map<String, Long> counts = new TreeMap<>();
        calls.forEach((kind, count) -> counts.put(kind, count.sum()));
        return counts;
    }

    /** Closes all connections and stops. */
    @Override
    public void close() {
        watchers.forEach(Watcher::close);
        timer.shutdownNow();
        server.close();
    }

    private void changed(KeyValues.Item item) {
        double dropped = faults.dropWatchEvents();
        watchers.removeIf(Watcher::closed);
        for (Watcher watcher : watchers) {
            if (!chance(dropped)) {
                watcher.event(item, gateway.header());
            }
        }
    }

    private void call(Exchange exchange, byte[] body) {
        String kind = kind(exchange.path());
        if (kind.isEmpty()) {
            exchange.error(new StandinException(404, 5, "Not Found"));
            return;
        }
        count(kind);
        boolean write = kind.equals("put") || kind.equals("txn");
        if (faults.blocks(exchange.header(CLIENT_HEADER))) {
            exchange.abort();
            return;
        }
        if (!(write ? writes : reads).tryCall()) {
            count("refused");
            exchange.error(new StandinException(429, 8, "etcdserver: too many requests"));
            return;
        }
        long delay = limits.latencyMillis() + faults.delayMillis();
        Timers.run(timer, () -> execute(exchange, kind, body), delay, TimeUnit.MILLISECONDS);
    }

    private void execute(Exchange exchange, String kind, byte[] body) {
        try {
            JsonNode message = Exchange.parse(body);
            switch (kind) {
                case "range" -> answer(exchange, gateway.range(message), false);
                case "watch" -> watch(exchange, message);
                case "put" -> answer(exchange, gateway.put(message), chance(faults.loseWriteAnswers()));
                default -> answer(exchange, gateway.transaction(message), chance(faults.loseWriteAnswers()));
            }
        } catch (StandinException e) {
            exchange.error(e);
        }
    }

    /** A store that went down while a call waited does not respond, although the call took effect. */
    private void answer(Exchange exchange, ObjectNode answer, boolean lost) {
        if (lost || faults.blocks(exchange.header(CLIENT_HEADER))) {
            exchange.abort();
            return;
        }
        exchange.json(200, answer);
    }

    private void watch(Exchange exchange, JsonNode message) throws StandinException {
        JsonNode create = message.path("create_request");
        String first = Gateway.bytes(create, "key");
        Watcher watcher = new Watcher(exchange, first, Gateway.bytes(create, "range_end"));
        gateway.betweenChanges(() -> {
            watcher.created(gateway.header());
            watchers.add(watcher);
        });
        if (faults.blocks(watcher.client())) {
            watcher.close();
        }
    }

    private void control(Exchange exchange, byte[] body) {
        try {
            switch (exchange.method() + " " + exchange.path()) {
                case "PUT /.standin/settings" -> apply(Settings.merge(faults, Exchange.parse(body), StoreFaults.class));
                case "POST /.standin/save" -> save();
                case "POST /.standin/restore" -> restore();
                case "GET /.standin/settings", "GET /.standin/calls" -> {}
                default -> throw new StandinException(404, 0, "no such control call");
            }
            boolean counts = exchange.path().endsWith("/calls");
            exchange.json(200, Exchange.MAPPER.valueToTree(counts ? calls() : faults));
        } catch (StandinException e) {
            exchange.error(e);
        }
    }

    private void count(String kind) {
        calls.computeIfAbsent(kind, k -> new LongAdder()).increment();
    }

    private static boolean chance(double probability) {
        return probability > 0 && ThreadLocalRandom.current().nextDouble() < probability;
    }

    private static String kind(String path) {
        return switch (path) {
            case "/v3/kv/range" -> "range";
            case "/v3/kv/put" -> "put";
            case "/v3/kv/txn" -> "txn";
            case "/v3/watch" -> "watch";
            default -> "";
        };
    }

    private final class Calls extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Exchange exchange = new Exchange(request, response, callback);
            exchange.whenBodyRead(body -> {
                if (exchange.path().startsWith("/.standin/")) {
                    control(exchange, body);
                } else {
                    call(exchange, body);
                }
            });
            return true;
        }
    }
}
