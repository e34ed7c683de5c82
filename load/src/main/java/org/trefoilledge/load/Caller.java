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

/** One root request with its repeats. */
final class Caller {
    private static final int MAX_BODY_BYTES = 2 * 1024 * 1024;
    /** A node may answer at the deadline; the caller waits this much longer for that answer. */
    private static final long GRACE_MILLIS = 100;

    private final Driver driver;
    private final long root;
    private final CallerGroup group;
    private final RouteLoad route;
    private final long intendedMicros;
    private final SplittableRandom random;
    private final String path;
    private final String body;
    private final String idempotencyKey;
    private int number;

    Caller(Driver driver, long root, CallerGroup group, RouteLoad route, double intended, SplittableRandom random) {
        this.driver = driver;
        this.root = root;
        this.group = group;
        this.route = route;
        this.intendedMicros = (long) (intended * 1e6);
        this.random = random;
        this.path = RequestEcho.tagged(route.concretePath(random), root);
        this.body = route.body();
        this.idempotencyKey = route.idempotencyKey()
                ? UuidV7.make(System.currentTimeMillis(), random).toString()
                : "";
    }

    /** Sends the next attempt. */
    void attempt() {
        long sent = driver.micros();
        driver.journal().sent();
        if (!driver.enter()) {
            finish(sent, Result.NOT_SENT);
            return;
        }
        request().send(new BufferingResponseListener(MAX_BODY_BYTES) {
            @Override
            public void onComplete(org.eclipse.jetty.client.Result result) {
                driver.leave();
                finish(sent, classify(result, getContentAsString(StandardCharsets.UTF_8)));
            }
        });
    }

    private Request request() {
        Experiment experiment = driver.experiment();
        List<String> targets = experiment.targets();
        String target = targets.get(random.nextInt(targets.size()));
        Request request = driver.client()
                .newRequest("http://" + target + path)
                .method(route.method())
                .timeout(experiment.deadlineMillis() + GRACE_MILLIS, TimeUnit.MILLISECONDS)
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

    private Result classify(org.eclipse.jetty.client.Result result, String content) {
        if (result.isFailed()) {
            return result.getFailure() instanceof TimeoutException ? Result.TIMEOUT : Result.CONNECTION;
        }
        var response = result.getResponse();
        HttpField kind = response.getHeaders().getField("Trefoilledge-Kind");
        HttpField retryAfter = response.getHeaders().getField("Retry-After");
        return ResponseCheck.classify(
                response.getStatus(),
                kind == null ? null : kind.getValue(),
                retryAfter == null ? null : retryAfter.getValue(),
                content == null ? "" : content,
                text -> RequestEcho.matches(route.echo(), text, path, root, bodyBytes()));
    }

    private int bodyBytes() {
        return body.getBytes(StandardCharsets.UTF_8).length;
    }

    private void finish(long sent, Result result) {
        long end = driver.micros();
        driver.journal().finished(new Attempt(root, group.organisation(), number, sent, end, result));
        if (retries(result)) {
            number++;
            long delay = group.retry().delayMillis(result.retryAfterMillis(), random);
            driver.later(Duration.ofMillis(delay), this::attempt);
            return;
        }
        driver.finished(new RootRequest(
                root, group.organisation(), route.id(), route.importance(), intendedMicros, end, number + 1, result));
    }

    private boolean retries(Result result) {
        boolean safe = route.method().equals("GET") || !idempotencyKey.isEmpty();
        return number < group.retry().attempts()
                && !driver.over()
                && ResponseCheck.mayRetry(result, safe, group.retry().respectRetryAfter());
    }
}
