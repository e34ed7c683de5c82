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
 * A stand-in for an upstream: an HTTP server with a fixed number of slots that announces itself to its node, sends
 * child calls through the node, and counts its executions.
 */
public final class UpstreamStandin implements AutoCloseable {
    private static final int MAX_CLIENT_THREADS = 12;
    private static final int MAX_CONNECTIONS_TO_NODE = 512;

    /** Longer than the announcement interval, so that the node learns of the draining state before the exit. */
    private static final long DRAIN_QUIET_MILLIS = 1_500;

    private final Clock clock = Clock.system();
    private final UpstreamOptions options;
    private final ScheduledThreadPoolExecutor timer;
    private final HttpClient http;
    private final RequestExecutor executor;
    private final Announcer announcer;
    private final ReceivedBytes received = new ReceivedBytes(ReceivedBytes.MAX_TOTAL_BYTES);
    private final LoadHistory loadHistory = new LoadHistory();
    private final StandinServer server;

    /**
     * Starts an upstream.
     *
     * @throws IOException if the address cannot be bound
     */
    public static UpstreamStandin start(UpstreamOptions options) throws IOException {
        UpstreamStandin upstream = new UpstreamStandin(options);
        upstream.startServices();
        return upstream;
    }

    private UpstreamStandin(UpstreamOptions options) {
        this.options = options;
        timer = Timers.create("upstream-timer-" + options.host());
        http = createHttpClient(options.host());
        ChildCallClient childCalls = new ChildCallClient(http, options.node(), options.calls());
        executor = new RequestExecutor(options, clock, timer, childCalls);
        announcer = new Announcer(http, options.node(), this::createAnnouncement);
        server = new StandinServer(
                "upstream-" + options.host(),
                Addresses.parse(options.listen()),
                new RequestHandler(),
                (jetty, factory) -> new ObservedEndPoint.Connector(jetty, factory, received::add));
        server.connector().addBean(new NetworkConnectionLimit(options.connections(), server.connector()));
    }

    private static HttpClient createHttpClient(String host) {
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

    private void startServices() throws IOException {
        try {
            http.start();
        } catch (Exception e) {
            throw new IOException("cannot start the HTTP client: " + e.getMessage(), e);
        }
        server.start();
        recordLoad();
        var unused = timer.scheduleAtFixedRate(
                Timers.logExceptions(this::recordLoad),
                LoadHistory.SAMPLE_INTERVAL_MILLIS,
                LoadHistory.SAMPLE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        announcer.start(timer);
    }

    private void recordLoad() {
        loadHistory.add(executor.currentLoad());
    }

    /** Returns the port that the upstream listens on. */
    public int port() {
        return server.port();
    }

    /** Returns the address that the upstream listens on and announces, such as {@code 127.0.0.1:9000}. */
    public String address() {
        return server.host() + ":" + port();
    }

    /** Replaces the behaviour, and announces a changed state immediately. */
    public void apply(UpstreamBehaviour replacement) {
        boolean changed = replacement.state() != executor.behaviour().state();
        executor.apply(replacement);
        if (changed) {
            announcer.announce();
        }
    }

    /** Returns the current behaviour. */
    public UpstreamBehaviour behaviour() {
        return executor.behaviour();
    }

    /**
     * Returns the number of requests that were started, finished, cancelled, wasted (finished after their deadline),
     * failed, refused (queue full), expired (deadline passed in the queue), abandoned (connection closed in the queue)
     * and late (arrived while draining).
     */
    public Map<String, Long> totals() {
        return executor.counts().totals();
    }

    /** Returns the number of started executions for each {@code Idempotency-Key}. */
    public Map<String, Long> executionsByKey() {
        return executor.counts().executionsByKey();
    }

    /** Returns whether a recent request contains a text. Keeps up to 16 MiB of requests, without control calls. */
    public boolean received(String text) {
        return received.contains(text);
    }

    /**
     * Announces the state draining, and waits until no request runs or waits and none has arrived for 1.5 s.
     *
     * @param maxMillis maximum wait in milliseconds
     * @return whether the upstream became idle in time
     */
    public boolean drain(long maxMillis) throws InterruptedException {
        long end = clock.millis() + maxMillis;
        long quietFrom = clock.millis() + DRAIN_QUIET_MILLIS;
        apply(behaviour().withState(UpstreamState.DRAINING));
        while (executor.idleMillis() < DRAIN_QUIET_MILLIS || clock.millis() < quietFrom) {
            if (clock.millis() >= end) {
                return false;
            }
            Thread.sleep(10);
        }
        return true;
    }

    /** Stops immediately, like a killed process: the connections of running requests are closed. */
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

    private ObjectNode createAnnouncement() {
        return Exchange.MAPPER
                .createObjectNode()
                .put("host", options.host())
                .put("service", options.service())
                .put("address", address())
                .put("slots", options.slots())
                .put("connections", options.connections())
                .put("state", behaviour().state().announcedName());
    }

    private void handleRequest(Exchange exchange, byte[] body) {
        byte[] bytes = exchange.endPoint().takeReceived();
        if (exchange.path().startsWith("/.standin/")) {
            handleControl(exchange, body);
            return;
        }
        received.add(bytes);
        switch (exchange.path()) {
            case "/health" -> sendHealth(exchange);
            case "/load" -> sendLoad(exchange);
            default -> executor.handle(exchange, body.length);
        }
    }

    private void sendHealth(Exchange exchange) {
        LoadHistory.Sample sample =
                loadHistory.latestAt(clock.millis() - behaviour().loadLagMillis());
        int status = sample.state() == UpstreamState.SERVING ? 200 : 503;
        exchange.sendJson(
                status,
                Exchange.MAPPER.createObjectNode().put("state", sample.state().announcedName()));
    }

    private void sendLoad(Exchange exchange) {
        LoadHistory.Sample sample =
                loadHistory.latestAt(clock.millis() - behaviour().loadLagMillis());
        ObjectNode body = Exchange.MAPPER.createObjectNode();
        exchange.sendJson(
                200,
                body.put("slots", options.slots())
                        .put("running", sample.running())
                        .put("waiting", sample.waiting()));
    }

    private void handleControl(Exchange exchange, byte[] body) {
        try {
            JsonNode response =
                    switch (exchange.method() + " " + exchange.path()) {
                        case "PUT /.standin/settings" -> updateBehaviour(body);
                        case "GET /.standin/settings" -> Exchange.MAPPER.valueToTree(behaviour());
                        case "GET /.standin/executions" -> executionsJson();
                        case "GET /.standin/received" -> receivedJson(exchange);
                        default -> throw new StandinException(404, 0, "no such control call");
                    };
            exchange.sendJson(200, response);
        } catch (StandinException e) {
            exchange.sendError(e);
        }
    }

    private JsonNode updateBehaviour(byte[] body) throws StandinException {
        apply(Settings.merge(behaviour(), Exchange.parseObject(body), UpstreamBehaviour.class));
        return Exchange.MAPPER.valueToTree(behaviour());
    }

    private JsonNode executionsJson() {
        ObjectNode response = Exchange.MAPPER.createObjectNode();
        response.set("totals", Exchange.MAPPER.valueToTree(totals()));
        response.set("keys", Exchange.MAPPER.valueToTree(executionsByKey()));
        return response;
    }

    private JsonNode receivedJson(Exchange exchange) throws StandinException {
        Fields query = Request.extractQueryParameters(exchange.request());
        String text = query.getValue("contains");
        if (text == null || text.isEmpty()) {
            throw new StandinException(400, 0, "the query parameter contains is missing");
        }
        ObjectNode response = Exchange.MAPPER.createObjectNode();
        return response.put("contains", received(text)).put("droppedRequests", received.droppedRequests());
    }

    private final class RequestHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Exchange exchange = new Exchange(request, response, callback);
            exchange.readBody(body -> handleRequest(exchange, body));
            return true;
        }
    }
}
