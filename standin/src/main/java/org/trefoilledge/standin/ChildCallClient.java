package org.trefoilledge.standin;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;

/** Sends the child calls of a request: calls to other services through the node on the same host. */
final class ChildCallClient {
    /** Header with the context that links a child call to its parent request. */
    static final String CONTEXT_HEADER = "Trefoilledge-Context";

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final long MAX_TIMEOUT_MILLIS = 10_000;
    private static final int PATH_NUMBER_BOUND = 1_000;

    private final HttpClient http;
    private final String node;
    private final List<String> templates;

    ChildCallClient(HttpClient http, String node, List<String> templates) {
        this.http = http;
        this.node = node;
        this.templates = templates;
    }

    int count() {
        return templates.size();
    }

    /**
     * Sends a child call and passes the HTTP status of its response to the callback, or 0 if the call failed.
     *
     * @param index index of the call in the configured list
     */
    void send(int index, Execution execution, long now, IntConsumer statusCallback) {
        String[] parts = templates.get(index).split(" ", 2);
        String number = Integer.toString(ThreadLocalRandom.current().nextInt(PATH_NUMBER_BOUND));
        String context = execution.exchange().header(CONTEXT_HEADER);
        Request request = http.newRequest("http://" + node + parts[1].replace("{n}", number))
                .method(parts[0])
                .timeout(Math.min(MAX_TIMEOUT_MILLIS, execution.remainingMillis(now)), TimeUnit.MILLISECONDS);
        if (context != null) {
            request.headers(headers -> headers.put(CONTEXT_HEADER, context));
        }
        request.send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result result) {
                statusCallback.accept(
                        result.isSucceeded() ? result.getResponse().getStatus() : 0);
            }
        });
        execution.child(request);
    }

    String template(int index) {
        return templates.get(index);
    }
}
