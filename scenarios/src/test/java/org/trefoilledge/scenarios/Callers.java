package org.trefoilledge.scenarios;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** Callers that send orders (not idempotent) and lookups (idempotent) to the nodes of a fleet. */
final class Callers implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(6);
    /** One order in this many has no id: it may run once and is never repeated. */
    private static final int ORDERS_WITHOUT_ID = 5;

    /** Larger than one frame of HTTP/2 and one segment of TCP. */
    private static final int ANSWER_BYTES = 20_000;

    private final Fleet fleet;
    private final Ledger ledger;
    private final RandomGenerator random;
    private final Map<String, HttpClient> clients = Map.of(
            "HTTP/1.1", client(HttpClient.Version.HTTP_1_1),
            "HTTP/2", client(HttpClient.Version.HTTP_2));
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(Callers::thread);
    private final Map<Long, CompletableFuture<Attempt>> open = new ConcurrentHashMap<>();
    private final AtomicLong numbers = new AtomicLong();
    private final Set<String> avoided = ConcurrentHashMap.newKeySet();
    private volatile List<String> protocols = List.of("HTTP/1.1");
    private volatile int sent;

    Callers(Fleet fleet, Ledger ledger, RandomGenerator random) {
        this.fleet = fleet;
        this.ledger = ledger;
        this.random = random;
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "callers");
        thread.setDaemon(true);
        return thread;
    }

    private static HttpClient client(HttpClient.Version version) {
        return HttpClient.newBuilder()
                .version(version)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    /** Sends with these protocols in turn. */
    void protocols(List<String> names) {
        protocols = names;
    }

    /** Sends no further requests to a host, as callers do when an address does not respond. */
    void avoid(String host) {
        avoided.add(host);
    }

    void use(String host) {
        avoided.remove(host);
    }

    /** Sends a number of requests as fast as the rate allows and waits for all. */
    void send(int count, int perSecond) throws InterruptedException {
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long due = start + TimeUnit.SECONDS.toNanos(i) / perSecond;
            TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
            sendAny();
        }
        awaitOpen();
    }

    /** Sends at a rate until the callers are closed. */
    void start(int perSecond) {
        long period = TimeUnit.SECONDS.toNanos(1) / perSecond;
        var unused = timer.scheduleAtFixedRate(this::sendAny, 0, period, TimeUnit.NANOSECONDS);
    }

    /** Waits for a time while requests are sent and returns those that were sent in it, when they have ended. */
    List<Attempt> observe(int seconds) throws InterruptedException {
        long from = System.nanoTime();
        TimeUnit.SECONDS.sleep(seconds);
        long to = System.nanoTime();
        awaitOpen();
        return ledger.sentBetween(from, to);
    }

    private synchronized void sendAny() {
        List<String> hosts =
                fleet.hosts().stream().filter(host -> !avoided.contains(host)).toList();
        if (hosts.isEmpty()) {
            return;
        }
        sent++;
        String host = hosts.get(random.nextInt(hosts.size()));
        String protocol = protocols.get(sent % protocols.size());
        if (random.nextBoolean()) {
            var unused = lookup(host, protocol);
        } else {
            var unused = order(host, protocol, "order-" + sent, sent % ORDERS_WITHOUT_ID != 0);
        }
    }

    CompletableFuture<Attempt> order(String host, String protocol, String id, boolean keyed) {
        HttpRequest.Builder request = request(host, "/orders?" + marker(id) + "size=" + ANSWER_BYTES)
                .POST(HttpRequest.BodyPublishers.ofString(bodyOf(id)));
        if (keyed) {
            request.header("Idempotency-Key", id);
        }
        return send(request.build(), host, protocol, id, true);
    }

    CompletableFuture<Attempt> lookup(String host, String protocol) {
        String id = "lookup-" + sent + "-" + random.nextInt(Integer.MAX_VALUE);
        return send(
                request(host, "/pickups/badge?" + marker(id) + "size=" + ANSWER_BYTES)
                        .GET()
                        .build(),
                host,
                protocol,
                id,
                false);
    }

    /** Returns the status of a lookup with another key; it is not part of the ledger. */
    int statusWithKey(String host, String key) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(fleet.callers(host) + "/pickups/key-check"))
                .timeout(REQUEST_TIMEOUT)
                .header("Authorization", "Bearer " + key)
                .build();
        return clients.get("HTTP/1.1")
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    private HttpRequest.Builder request(String host, String target) {
        return HttpRequest.newBuilder(URI.create(fleet.callers(host) + target))
                .timeout(REQUEST_TIMEOUT)
                .header("Authorization", "Bearer " + Fleet.KEY);
    }

    private CompletableFuture<Attempt> send(
            HttpRequest request, String host, String protocol, String id, boolean order) {
        long sentNanos = System.nanoTime();
        CompletableFuture<Attempt> recorded = clients.get(protocol)
                .sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .orTimeout(2 * REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .handle((response, failure) -> failure == null
                        ? answered(response, id, order, host, protocol, sentNanos)
                        : new Attempt(id, order, host, protocol, sentNanos, 0, "", "", "", reason(failure)))
                .thenApply(ledger::add);
        long number = numbers.incrementAndGet();
        open.put(number, recorded);
        var unused = recorded.whenComplete((attempt, failure) -> open.remove(number));
        return recorded;
    }

    private static Attempt answered(
            HttpResponse<String> response, String id, boolean order, String host, String protocol, long sentNanos) {
        return new Attempt(
                id,
                order,
                host,
                protocol,
                sentNanos,
                response.statusCode(),
                response.headers().firstValue("Trefoilledge-Kind").orElse(""),
                response.headers().firstValue("Trefoilledge-Ran").orElse(""),
                response.body(),
                "");
    }

    private static String reason(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        boolean unconnected = cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
        return unconnected ? Attempt.NOT_CONNECTED : cause.toString();
    }

    /** Returns the body of an order: its id, repeated to a length that depends on it. */
    static String bodyOf(String id) {
        return (id + ";").repeat(1 + Math.floorMod(id.hashCode(), 200));
    }

    /** Returns a text that only requests with this id contain. */
    static String marker(String id) {
        return "id=" + id + "&";
    }

    /** The stand-in repeats the id and the length of the order, and pads the answer to the wanted size. */
    static boolean isAnswerTo(Attempt attempt) {
        int bytes = attempt.order() ? bodyOf(attempt.id()).length() : 0;
        return attempt.body().length() == ANSWER_BYTES
                && attempt.body().contains("\"requestId\":\"" + attempt.id() + "\"")
                && attempt.body().contains("\"bodyBytes\":" + bytes + ",");
    }

    /** Waits until all requests that were sent before the call have ended. */
    void awaitOpen() {
        new ArrayList<>(open.values()).forEach(CompletableFuture::join);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        awaitOpen();
    }
}
