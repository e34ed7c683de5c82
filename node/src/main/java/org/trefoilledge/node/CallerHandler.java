package org.trefoilledge.node;

import io.micrometer.core.instrument.Timer;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Invocable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;

/** Reads a request from HTTP, runs it through the pipeline, and writes the whole answer. */
final class CallerHandler extends Handler.Abstract.NonBlocking {
    private static final Logger LOG = LoggerFactory.getLogger(CallerHandler.class);

    private final Pipeline pipeline;
    private final int maxBodyBytes;
    private final Decisions decisions;
    private final Clock clock;
    private final Timer timer;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean closing;

    CallerHandler(Pipeline pipeline, int maxBodyBytes, Decisions decisions, Clock clock, Timer timer) {
        this.pipeline = pipeline;
        this.maxBodyBytes = maxBodyBytes;
        this.decisions = decisions;
        this.clock = clock;
        this.timer = timer;
    }

    /** From now on answers ask HTTP/1.1 callers to close the connection. */
    void closing() {
        closing = true;
    }

    /** Returns the number of requests whose answers are not yet written. */
    int inFlight() {
        return inFlight.get();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        handle(request, response, callback, Optional.empty());
        return true;
    }

    void handle(Request request, Response response, Callback callback, Optional<CallContext> parent) {
        inFlight.incrementAndGet();
        long started = System.nanoTime();
        Callback done = Callback.from(
                () -> {
                    inFlight.decrementAndGet();
                    timer.record(System.nanoTime() - started, TimeUnit.NANOSECONDS);
                    callback.succeeded();
                },
                failure -> {
                    inFlight.decrementAndGet();
                    callback.failed(failure);
                });
        if (request.getLength() > maxBodyBytes) {
            refuse(request, response, done, ErrorKind.TOO_LARGE, "the bound is " + maxBodyBytes + " bytes");
            return;
        }
        if (request.getLength() == 0) {
            run(request, response, done, parent, new byte[0]);
            return;
        }
        Content.Source.asByteArrayAsync(
                request,
                maxBodyBytes,
                Promise.Invocable.from(
                        Invocable.InvocationType.NON_BLOCKING,
                        bytes -> run(request, response, done, parent, bytes),
                        error -> unreadable(request, response, done, error)));
    }

    private void unreadable(Request request, Response response, Callback done, Throwable error) {
        if (error instanceof IllegalStateException) {
            refuse(request, response, done, ErrorKind.TOO_LARGE, "the bound is " + maxBodyBytes + " bytes");
        } else {
            refuse(request, response, done, ErrorKind.BAD_REQUEST, "the body ended early");
        }
    }

    private void run(Request request, Response response, Callback done, Optional<CallContext> parent, byte[] body) {
        List<Answer.Header> headers = request.getHeaders().stream()
                .map(field -> new Answer.Header(field.getName(), field.getValue() == null ? "" : field.getValue()))
                .toList();
        Exchange exchange = new Exchange(
                request.getMethod(), request.getHttpURI().getPathQuery(), headers, body, parent, clock.millis());
        request.addFailureListener(failure -> exchange.cancel());
        CompletableFuture<Answer> answer;
        try {
            answer = pipeline.run(exchange);
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        var unused = answer.whenComplete((result, error) -> {
            if (error != null) {
                LOG.error("route: request {} failed.", exchange.id(), error);
            }
            Answer whole = error == null ? result : Answer.refused(ErrorKind.INTERNAL, "see the node's log");
            finish(exchange, parent, whole);
            write(request, response, done, exchange, whole);
        });
    }

    private void finish(Exchange exchange, Optional<CallContext> parent, Answer answer) {
        parent.ifPresent(context -> {
            context.admissionLevel().accumulateAndGet(answer.admissionLevel(), Math::max);
            context.budget().addAndGet(answer.unusedBudget());
        });
        answer.refusal().ifPresent(refusal -> {
            decisions.refused(exchange, refusal);
            LOG.info(
                    "route: request {} of {} on {} {} is refused with {}: {}.",
                    exchange.id(),
                    exchange.organisation(),
                    exchange.method(),
                    exchange.path(),
                    refusal.kind(),
                    refusal.reason());
        });
    }

    private void refuse(Request request, Response response, Callback done, ErrorKind kind, String reason) {
        Exchange exchange = new Exchange(
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                List.of(),
                new byte[0],
                Optional.empty(),
                clock.millis());
        Answer answer = Answer.refused(kind, reason);
        decisions.refused(exchange, answer.refusal().orElseThrow());
        write(request, response, done, exchange, answer);
    }

    private void write(Request request, Response response, Callback done, Exchange exchange, Answer answer) {
        HttpFields.Mutable fields = response.getHeaders();
        response.setStatus(answer.status());
        byte[] body = answer.body().bytes();
        if (answer.refusal().isPresent()) {
            body = RefusalBody.bytes(answer.refusal().get());
            RefusalBody.headers(answer.refusal().get()).forEach(h -> fields.put(h.name(), h.value()));
        } else {
            answer.headers().forEach(h -> fields.add(h.name(), h.value()));
            if (!answer.upstream().isEmpty()) {
                fields.put("Trefoilledge-Upstream", answer.upstream());
            }
        }
        fields.put("Trefoilledge-Request", exchange.id());
        if (closing && request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
            fields.put(HttpHeader.CONNECTION, "close");
        }
        boolean bodyless = request.getMethod().equals("HEAD") || answer.status() == 204 || answer.status() == 304;
        if (!bodyless) {
            fields.put(HttpHeader.CONTENT_LENGTH, body.length);
        }
        response.write(true, bodyless ? null : ByteBuffer.wrap(body), done);
    }
}
