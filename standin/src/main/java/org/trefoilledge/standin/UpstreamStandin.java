package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.trefoilledge.core.Clock;

/**
 * A stand-in for an upstream: an HTTP server with a number of slots that announces itself to its node, makes calls of
 * its own through the node, and counts what it executed.
 */
public final class UpstreamStandin implements AutoCloseable {
    private static final int MAX_CLIENT_THREADS = 12;
    private static final int MAX_CONNECTIONS_TO_NODE = 512;

    /** Longer than the interval of announcements, so that a node has heard of the draining before the exit. */
    private static final long QUIET_MILLIS = 1_500;

    private final Clock clock = Clock.system();
    private final UpstreamOptions options;
    private final ScheduledThreadPoolExecutor timer;
    private final HttpClient http;
    private final Executions executions;
    private final Announcer announcer;
    private final ReceivedBytes received = new ReceivedBytes(ReceivedBytes.MAX_TOTAL_BYTES);
    private final LoadHistory history = new LoadHistory();
    private final StandinServer server;

    /**
     * Starts an upstream.
     *
     * @throws IOException if the address cannot be bound
     */
    public static UpstreamStandin start(UpstreamOptions options) throws IOException {
        UpstreamStandin upstream = new UpstreamStandin(options);
        upstream.run();
        return upstream;
    }

    private UpstreamStandin(UpstreamOptions options) {
        this.options = options;
        timer = Timers.create("upstream-timer-" + options.host());
        http = client(options.host());
        ChildCalls calls = new ChildCalls(http, options.node(), options.calls());
        executions = new Executions(options, clock, timer, calls);
        announcer = new Announcer(http, options.node(), this::announcement);
        server = new StandinServer(
                "upstream-" + options.host(),
                Addresses.parse(options.listen()),
                new Requests(),
                (jetty, factory) -> new ObservedEndPoint.Connector(jetty, factory, received::add));
        server.connector().addBean(new NetworkConnectionLimit(options.connections(), server.connector()));
    }

    private static HttpClient client(String host) {
        HttpClient http = new HttpClient(new HttpClientTransportOverHTTP(1));
        QueuedThreadPool threads = new QueuedThreadPool(MAX_CLIENT_THREADS, 2);
        threads.setName("upstream-client-" + host);
        threads.setDaemon(true);
        http.setExecutor(threads);
        http.setFollowRedirects(false);
        http.setUserAgentField(null);
        http.setMaxConnectionsPerDestination(MAX_CONNECTIONS_TO_NODE);
        return http;
    }

    private void run() throws IOException {
        try {
            http.start();
        } catch (Exception e) {
            throw new IOException("cannot start the HTTP client: " + e.getMessage(), e);
        }
        server.start();
        sample();
        var unused = timer.scheduleAtFixedRate(
                Timers.guarded(this::sample),
                LoadHistory.SAMPLE_MILLIS,
                LoadHistory.SAMPLE_MILLIS,
                TimeUnit.MILLISECONDS);
        announcer.start(timer);
    }

    private void sample() {
        history.add(executions.load());
    }

    /** Returns the port that the upstream listens on. */
    public int port() {
        return server.port();
    }

    /** Returns the address that the upstream listens on and announces, such as {@code 127.0.0.1:9000}. */
    public String address() {
        return server.host() + ":" + port();
    }

    /** Replaces the behaviour; a new state is announced at once. */
    public void apply(UpstreamBehaviour replacement) {
        boolean changed = replacement.state() != executions.behaviour().state();
        executions.apply(replacement);
        if (changed) {
            announcer.announce();
        }
    }

    /** Returns the present behaviour. */
    public UpstreamBehaviour behaviour() {
        return executions.behaviour();
    }

    /**
     * Returns how many requests were started, finished, cancelled, wasted (finished after their deadline), failed,
     * refused (queue full), expired (in the queue), abandoned (in the queue) and late (arrived while draining).
     */
    public Map<String, Long> totals() {
        return executions.counts().totals();
    }

    /** Returns how many executions were started for each {@code Idempotency-Key}. */
    public Map<String, Long> executionsByKey() {
        return executions.counts().keys();
    }

    /** Returns whether a request contained a text anywhere; only the last 16 MB are kept, control calls excluded. */
    public boolean received(String text) {
        return received.contains(text);
    }

    /**
     * Announces draining and waits until nothing has run or arrived for a while.
     *
     * @param maxMillis longest wait, in milliseconds
     * @return whether all work had finished
     */
    public boolean drain(long maxMillis) throws InterruptedException {
        long end = clock.millis() + maxMillis;
        long quietFrom = clock.millis() + QUIET_MILLIS;
        apply(behaviour().withState(UpstreamState.DRAINING));
        while (executions.idleMillis() < QUIET_MILLIS || clock.millis() < quietFrom) {
            if (clock.millis() >= end) {
                return false;
            }
            Thread.sleep(10);
        }
        return true;
    }

    /** Stops at once, as a killed process would: running requests lose their connections. */
    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
        try {
            http.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP client did not stop", e);
        }
    }

    private ObjectNode announcement() {
        return Exchange.MAPPER
                .createObjectNode()
                .put("host", options.host())
                .put("service", options.service())
                .put("address", address())
                .put("slots", options.slots())
                .put("connections", options.connections())
                .put("state", behaviour().state().announced());
    }

    private void request(Exchange exchange, byte[] body) {
        byte[] bytes = exchange.endPoint().takeReceived();
        if (exchange.path().startsWith("/.standin/")) {
            control(exchange, body);
            return;
        }
        received.add(bytes);
        switch (exchange.path()) {
            case "/health" -> health(exchange);
            case "/load" -> load(exchange);
            default -> executions.arrived(exchange, body.length);
        }
    }

    private void health(Exchange exchange) {
        LoadHistory.Sample sample = history.at(clock.millis() - behaviour().loadLagMillis());
        int status = sample.state() == UpstreamState.SERVING ? 200 : 503;
        exchange.json(
                status,
                Exchange.MAPPER.createObjectNode().put("state", sample.state().announced()));
    }

    private void load(Exchange exchange) {
        LoadHistory.Sample sample = history.at(clock.millis() - behaviour().loadLagMillis());
        ObjectNode body = Exchange.MAPPER.createObjectNode();
        exchange.json(
                200,
                body.put("slots", options.slots())
                        .put("running", sample.running())
                        .put("waiting", sample.waiting()));
    }

    private void control(Exchange exchange, byte[] body) {
        try {
            JsonNode answer =
                    switch (exchange.method() + " " + exchange.path()) {
                        case "PUT /.standin/settings" -> change(body);
                        case "GET /.standin/settings" -> Exchange.MAPPER.valueToTree(behaviour());
                        case "GET /.standin/executions" -> executionsJson();
                        case "GET /.standin/received" -> receivedJson(exchange);
                        default -> throw new StandinException(404, 0, "no such control call");
                    };
            exchange.json(200, answer);
        } catch (StandinException e) {
            exchange.error(e);
        }
    }

    private JsonNode change(byte[] body) throws StandinException {
        apply(Settings.merge(behaviour(), Exchange.parse(body), UpstreamBehaviour.class));
        return Exchange.MAPPER.valueToTree(behaviour());
    }

    private JsonNode executionsJson() {
        ObjectNode answer = Exchange.MAPPER.createObjectNode();
        answer.set("totals", Exchange.MAPPER.valueToTree(totals()));
        answer.set("keys", Exchange.MAPPER.valueToTree(executionsByKey()));
        return answer;
    }

    private JsonNode receivedJson(Exchange exchange) throws StandinException {
        Fields query = Request.extractQueryParameters(exchange.request());
        String text = query.getValue("contains");
        if (text == null || text.isEmpty()) {
            throw new StandinException(400, 0, "the query parameter contains is missing");
        }
        ObjectNode answer = Exchange.MAPPER.createObjectNode();
        return answer.put("contains", received(text)).put("droppedRequests", received.dropped());
    }

    private final class Requests extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Exchange exchange = new Exchange(request, response, callback);
            exchange.whenBodyRead(body -> request(exchange, body));
            return true;
        }
    }
}
