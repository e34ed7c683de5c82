package org.trefoilledge.configstore;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A watch of the JSON gateway: one response without end, with one JSON message a line. */
final class EtcdWatch implements Watch {
    private static final Logger log = LoggerFactory.getLogger(EtcdWatch.class);

    /** A connection that has been silent for so long may be dead, so the watch is started anew. */
    private static final long IDLE_MILLIS = 60_000;

    private final CompletableFuture<Void> confirmed = new CompletableFuture<>();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Consumer<StoredValue> listener;
    private final Request request;
    private volatile boolean active = true;

    private EtcdWatch(EtcdTransport transport, int endpoint, String prefix, Consumer<StoredValue> listener) {
        this.listener = listener;
        request = transport
                .request(endpoint, "/v3/watch", EtcdJson.watch(prefix))
                .idleTimeout(IDLE_MILLIS, TimeUnit.MILLISECONDS)
                .onResponseContent((response, content) -> received(content));
    }

    static EtcdWatch start(EtcdTransport transport, String prefix, Consumer<StoredValue> listener)
            throws StoreException {
        int endpoint = transport.preferred();
        EtcdWatch watch = new EtcdWatch(transport, endpoint, prefix, listener);
        watch.request.send(watch::ended);
        try {
            watch.confirmed.get(transport.timeoutMillis(), TimeUnit.MILLISECONDS);
            return watch;
        } catch (ExecutionException | TimeoutException e) {
            watch.close();
            StoreException failure =
                    new StoreUnavailableException("the store did not confirm the watch of " + prefix, e);
            transport.prefer(endpoint, failure);
            throw failure;
        } catch (InterruptedException e) {
            watch.close();
            Thread.currentThread().interrupt();
            throw new StoreUnavailableException("interrupted while starting the watch of " + prefix, e);
        }
    }

    /** Jetty calls this for one piece of content after the other, so the line buffer needs no lock. */
    private void received(ByteBuffer content) {
        while (content.hasRemaining()) {
            byte next = content.get();
            if (next != '\n') {
                line.write(next);
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            message(text);
        }
    }

    private void message(String text) {
        if (text.isBlank() || !active) {
            return;
        }
        try {
            JsonNode result = EtcdJson.MAPPER.readTree(text).path("result");
            if (result.path("canceled").asBoolean()) {
                EtcdTransport.abort(request, new CancellationException("the store ended the watch"));
                return;
            }
            if (result.path("created").asBoolean()) {
                confirmed.complete(null);
            }
            for (JsonNode event : result.path("events")) {
                event(event);
            }
        } catch (JsonProcessingException | StoreException e) {
            log.warn("store: a watch message cannot be read and ends the watch: {}", e.getMessage());
            EtcdTransport.abort(request, e);
        }
    }

    private void event(JsonNode event) throws StoreException {
        if (event.path("type").asText("PUT").equals("PUT")) {
            listener.accept(EtcdJson.value(event.path("kv")));
        }
    }

    private void ended(Result result) {
        active = false;
        Throwable failure = result.getFailure();
        confirmed.completeExceptionally(
                failure == null ? new StoreUnavailableException("the store ended the watch") : failure);
    }

    @Override
    public boolean active() {
        return active;
    }

    @Override
    public void close() {
        active = false;
        EtcdTransport.abort(request, new CancellationException("the watch was closed"));
    }
}
