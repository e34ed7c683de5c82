package org.trefoilledge.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpField;

/** Sends one root request and its retries. */
final class RetryingRequest {
    private static final int MAX_BODY_BYTES = 2 * 1024 * 1024;
    /** Extra client timeout, so that a response sent at the deadline still arrives. */
    private static final long RESPONSE_GRACE_MILLIS = 100;

    private final Driver driver;
    private final long rootId;
    private final CallerGroup group;
    private final RouteLoad route;
    private final long intendedMicros;
    private final SplittableRandom random;
    private final String path;
    private final String body;
    private final String idempotencyKey;
    private int attemptNumber;

    RetryingRequest(
            Driver driver, long root, CallerGroup group, RouteLoad route, double intended, SplittableRandom random) {
        this.driver = driver;
        this.rootId = root;
        this.group = group;
        this.route = route;
        this.intendedMicros = (long) (intended * 1e6);
        this.random = random;
        this.path = RequestEcho.withId(route.concretePath(random), root);
        this.body = route.body();
        this.idempotencyKey = route.idempotencyKey()
                ? UuidV7.generate(System.currentTimeMillis(), random).toString()
                : "";
    }

    /** Sends the next attempt. */
    void sendAttempt() {
        long sent = driver.elapsedMicros();
        driver.recorder().sent();
        if (!driver.tryAcquireSlot()) {
            finishAttempt(sent, AttemptResult.NOT_SENT);
            return;
        }
        newRequest().send(new BufferingResponseListener(MAX_BODY_BYTES) {
            @Override
            public void onComplete(org.eclipse.jetty.client.Result result) {
                driver.releaseSlot();
                finishAttempt(sent, classify(result, getContentAsString(StandardCharsets.UTF_8)));
            }
        });
    }

    private Request newRequest() {
        Experiment experiment = driver.experiment();
        List<String> targets = experiment.targets();
        String target = targets.get(random.nextInt(targets.size()));
        Request request = driver.client()
                .newRequest("http://" + target + path)
                .method(route.method())
                .timeout(experiment.deadlineMillis() + RESPONSE_GRACE_MILLIS, TimeUnit.MILLISECONDS)
                .headers(headers -> {
                    headers.put("Trefoilledge-Deadline-Ms", Long.toString(experiment.deadlineMillis()));
                    if (!group.key().isEmpty()) {
                        headers.put("Authorization", "Bearer " + group.key());
                    }
                    if (!idempotencyKey.isEmpty()) {
                        headers.put("Idempotency-Key", idempotencyKey);
                    }
                });
        return body.isEmpty() ? request : request.body(new StringRequestContent("application/json", body));
    }

    private AttemptResult classify(org.eclipse.jetty.client.Result result, String content) {
        if (result.isFailed()) {
            return result.getFailure() instanceof TimeoutException ? AttemptResult.TIMEOUT : AttemptResult.CONNECTION;
        }
        var response = result.getResponse();
        HttpField kind = response.getHeaders().getField("Trefoilledge-Kind");
        HttpField retryAfter = response.getHeaders().getField("Retry-After");
        return ResponseClassifier.classify(
                response.getStatus(),
                kind == null ? null : kind.getValue(),
                retryAfter == null ? null : retryAfter.getValue(),
                content == null ? "" : content,
                text -> RequestEcho.matches(route.echo(), text, path, rootId, bodyBytes()));
    }

    private int bodyBytes() {
        return body.getBytes(StandardCharsets.UTF_8).length;
    }

    private void finishAttempt(long sent, AttemptResult result) {
        long end = driver.elapsedMicros();
        driver.recorder().recordFinished(new Attempt(rootId, group.organisation(), attemptNumber, sent, end, result));
        if (shouldRetry(result)) {
            attemptNumber++;
            long delay = group.retry().delayMillis(result.retryAfterMillis(), random);
            driver.schedule(Duration.ofMillis(delay), this::sendAttempt);
            return;
        }
        driver.recordFinished(new RootRequest(
                rootId,
                group.organisation(),
                route.id(),
                route.importance(),
                intendedMicros,
                end,
                attemptNumber + 1,
                result));
    }

    private boolean shouldRetry(AttemptResult result) {
        boolean safe = route.method().equals("GET") || !idempotencyKey.isEmpty();
        return attemptNumber < group.retry().maxRetries()
                && !driver.durationElapsed()
                && ResponseClassifier.mayRetry(result, safe, group.retry().respectRetryAfter());
    }
}
