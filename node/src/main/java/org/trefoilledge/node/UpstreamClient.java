package org.trefoilledge.node;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.wire.generated.Call;

/** Sends calls to the upstream on this host over reused connections, whose number is bounded. */
final class UpstreamClient implements AutoCloseable {
    /** Share of the upstream's connections that is used, so that probes and operators still get one. */
    private static final double CONNECTION_SHARE = 0.9;

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long IDLE_TIMEOUT_MILLIS = 20_000;
    private static final int THREADS = 16;

    private final HttpClient client = new HttpClient(new UpstreamTransport());
    private final int maxBodyBytes;

    UpstreamClient(int maxBodyBytes) throws Exception {
        this.maxBodyBytes = maxBodyBytes;
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setName("upstream");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        client.setMaxRequestsQueuedPerDestination(8192);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.start();
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
    }

    void connections(int announced) {
        client.setMaxConnectionsPerDestination(Math.max(1, (int) (announced * CONNECTION_SHARE)));
    }

    /** A call on its way to the upstream. */
    record Execution(CompletableFuture<Answer> answer, Runnable cancel) {}

    Execution execute(Call call, String address, String host, String context, long timeoutMillis) {
        Request request = client.newRequest("http://" + address + call.getTarget())
                .method(call.getMethod())
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        request.headers(fields -> {
            call.getHeadersList().forEach(h -> fields.add(h.getName(), h.getValue()));
            fields.put("Trefoilledge-Context", context);
            fields.put("Trefoilledge-Deadline-Ms", Long.toString(timeoutMillis));
            fields.put("Trefoilledge-Organisation", call.getOrganisation());
        });
        if (!call.getBody().isEmpty()) {
            request.body(
                    new ByteBufferRequestContent((String) null, call.getBody().asReadOnlyByteBuffer()));
        } else if (call.getMethod().equals("POST") || call.getMethod().equals("PUT")) {
            request.body(new BytesRequestContent((String) null, new byte[0]));
        }
        AtomicBoolean begun = new AtomicBoolean();
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        request.onRequestBegin(r -> begun.set(true));
        request.send(new Collector(call, host, begun, answer));
        return new Execution(answer, () -> abort(request));
    }

    private static void abort(Request request) {
        var unused = request.abort(new InterruptedException("cancelled"));
    }

    private final class Collector implements Response.Listener {
        private final Call call;
        private final String host;
        private final AtomicBoolean begun;
        private final CompletableFuture<Answer> answer;
        private final java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
        private boolean tooLarge;

        Collector(Call call, String host, AtomicBoolean begun, CompletableFuture<Answer> answer) {
            this.call = call;
            this.host = host;
            this.begun = begun;
            this.answer = answer;
        }

        @Override
        public void onContent(Response response, ByteBuffer content) {
            if (body.size() + content.remaining() > maxBodyBytes) {
                tooLarge = true;
                var unused = response.abort(
                        new java.io.IOException("the upstream's response is larger than " + maxBodyBytes));
                return;
            }
            byte[] bytes = new byte[content.remaining()];
            content.get(bytes);
            body.writeBytes(bytes);
        }

        @Override
        public void onComplete(Result result) {
            if (result.isFailed()) {
                answer.complete(failure(result.getFailure()));
                return;
            }
            Response response = result.getResponse();
            List<Answer.Header> headers = response.getHeaders().stream()
                    .map(field -> new Answer.Header(field.getName(), field.getValue()))
                    .toList();
            answer.complete(
                    Answer.response(response.getStatus(), HeaderFilter.pass(headers), body.toByteArray(), host));
        }

        private Answer failure(Throwable cause) {
            if (!begun.get()) {
                return Answer.refused(
                        ErrorKind.NO_UPSTREAM, "the upstream on host " + host + " refused the connection");
            }
            ErrorKind kind = call.getIdempotent() ? ErrorKind.UPSTREAM_FAILED : ErrorKind.OUTCOME_UNKNOWN;
            String reason =
                    tooLarge ? "the response is too large" : cause.getClass().getSimpleName();
            return Answer.refused(kind, "host " + host + ": " + reason);
        }
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }
}
