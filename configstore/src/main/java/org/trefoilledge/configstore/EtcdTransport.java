package org.trefoilledge.configstore;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.nio.channels.UnresolvedAddressException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends calls to the JSON gateway, with a time limit and failover between endpoints. */
final class EtcdTransport implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(EtcdTransport.class);

    /** A page of 32 log entries of 1 MB each, in base64, fits. */
    private static final int MAX_RESPONSE_BYTES = 48 * 1024 * 1024;

    /** Shorter than usual server limits, so that a pooled connection is rarely closed while a write is sent on it. */
    private static final long IDLE_CONNECTION_MILLIS = 10_000;

    private static final int MAX_THREADS = 24;
    private static final int TOO_MANY_REQUESTS = 429;

    /** Codes of gRPC with which a write certainly had no effect. */
    private static final int RESOURCE_EXHAUSTED = 8;

    private final EtcdSettings settings;
    private final HttpClient http;
    private final AtomicInteger preferred = new AtomicInteger();

    EtcdTransport(EtcdSettings settings) {
        this.settings = settings;
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(1);
        http = new HttpClient(transport);
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 2);
        threads.setName("store-client");
        threads.setDaemon(true);
        http.setExecutor(threads);
        http.setConnectTimeout(settings.callTimeoutMillis());
        http.setIdleTimeout(IDLE_CONNECTION_MILLIS);
        http.setFollowRedirects(false);
        http.setUserAgentField(null);
        try {
            http.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot start the HTTP client for the store", e);
        }
    }

    long timeoutMillis() {
        return settings.callTimeoutMillis();
    }

    /** Reads may be repeated, so each endpoint is tried and gets an equal part of the remaining time. */
    JsonNode read(String path, JsonNode body) throws StoreException {
        long end = deadline();
        int endpoints = settings.endpoints().size();
        int first = preferred.get();
        StoreException last = null;
        for (int i = 0; i < endpoints; i++) {
            int endpoint = (first + i) % endpoints;
            try {
                return call(endpoint, path, body, remainingMillis(end) / (endpoints - i) + 1);
            } catch (StoreUnavailableException | StoreOutcomeUnknownException e) {
                last = e;
                prefer(endpoint, e);
                if (Thread.currentThread().isInterrupted()) {
                    break;
                }
            }
        }
        throw new StoreUnavailableException("no endpoint of the store responded: " + last.getMessage(), last);
    }

    /** A write goes to the next endpoint only while it certainly had no effect. */
    JsonNode write(String path, JsonNode body) throws StoreException {
        long end = deadline();
        int endpoints = settings.endpoints().size();
        int first = preferred.get();
        StoreUnavailableException last = null;
        for (int i = 0; i < endpoints; i++) {
            int endpoint = (first + i) % endpoints;
            try {
                return call(endpoint, path, body, remainingMillis(end));
            } catch (StoreUnavailableException e) {
                last = e;
                prefer(endpoint, e);
                if (Thread.currentThread().isInterrupted()) {
                    break;
                }
            } catch (StoreOutcomeUnknownException e) {
                prefer(endpoint, e);
                throw e;
            }
        }
        throw last;
    }

    private long deadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.callTimeoutMillis());
    }

    private static long remainingMillis(long end) {
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime()));
    }

    /** Returns the endpoint that worked last, as its place in the settings. */
    int preferred() {
        return preferred.get();
    }

    private JsonNode call(int endpoint, String path, JsonNode body, long millis) throws StoreException {
        AtomicBoolean sent = new AtomicBoolean();
        Request request = request(endpoint, path, body).onRequestBegin(r -> sent.set(true));
        CompletableFuture<ContentResponse> future = new CompletableResponseListener(request, MAX_RESPONSE_BYTES).send();
        try {
            return answer(future.get(millis, TimeUnit.MILLISECONDS));
        } catch (ExecutionException e) {
            throw failure(endpoint, sent.get(), e.getCause());
        } catch (TimeoutException e) {
            abort(request, e);
            throw failure(endpoint, sent.get(), new TimeoutException("no response within " + millis + " ms"));
        } catch (InterruptedException e) {
            abort(request, e);
            Thread.currentThread().interrupt();
            throw failure(endpoint, sent.get(), e);
        }
    }

    static void abort(Request request, Throwable cause) {
        var unused = request.abort(cause);
    }

    Request request(int endpoint, String path, JsonNode body) {
        return http.newRequest(settings.endpoints().get(endpoint) + path)
                .method(HttpMethod.POST)
                .headers(headers -> headers.put(EtcdSettings.CLIENT_HEADER, settings.client()))
                .body(new StringRequestContent("application/json", body.toString()));
    }

    private StoreException failure(int endpoint, boolean sent, Throwable cause) {
        String message = settings.endpoints().get(endpoint) + ": " + describe(cause);
        boolean refused = cause instanceof ConnectException
                || cause instanceof SocketTimeoutException
                || cause instanceof UnresolvedAddressException;
        if (!sent || refused) {
            return new StoreUnavailableException("the store cannot be reached at " + message, cause);
        }
        return new StoreOutcomeUnknownException("the store's response was lost at " + message, cause);
    }

    private static String describe(Throwable cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    /** Client errors are definite; a server error may follow a write that took effect, for example on a time limit. */
    private static JsonNode answer(ContentResponse response) throws StoreException {
        JsonNode body = parse(response);
        int status = response.getStatus();
        if (status == 200) {
            return body;
        }
        String message = "the store answered with status " + status + ": "
                + body.path("message").asText(body.path("error").asText(""));
        if (status == TOO_MANY_REQUESTS || body.path("code").asInt() == RESOURCE_EXHAUSTED) {
            throw new StoreUnavailableException(message);
        }
        if (status >= 400 && status < 500) {
            throw new StoreException(message);
        }
        throw new StoreOutcomeUnknownException(message);
    }

    private static JsonNode parse(ContentResponse response) throws StoreException {
        try {
            return EtcdJson.MAPPER.readTree(response.getContentAsString());
        } catch (JsonProcessingException e) {
            throw new StoreOutcomeUnknownException(
                    "the store's response with status " + response.getStatus() + " is not JSON", e);
        }
    }

    /** Uses the next endpoint from now on, unless another call has switched already. */
    void prefer(int failed, StoreException reason) {
        List<String> endpoints = settings.endpoints();
        int next = (failed + 1) % endpoints.size();
        if (next != failed && preferred.compareAndSet(failed, next)) {
            log.info("store: {}; using {} from now on", reason.getMessage(), endpoints.get(next));
        }
    }

    @Override
    public void close() {
        try {
            http.stop();
        } catch (Exception e) {
            log.warn("store: the HTTP client did not stop cleanly", e);
        }
    }
}
