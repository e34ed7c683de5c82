package org.trefoilledge.load;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * A fake node that answers with the path of the request. The first attempt of each request is refused if
 * {@code refuseFirst} is set; nothing is answered for some time after the first request.
 */
final class FakeNode extends Handler.Abstract implements AutoCloseable {
    private static final int THREADS = 64;

    private final Server server = new Server(new QueuedThreadPool(THREADS));
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private final boolean refuseFirst;
    private final long stallMillis;
    private final Set<String> requestedPaths = ConcurrentHashMap.newKeySet();
    private final Set<String> requestKeys = ConcurrentHashMap.newKeySet();
    private final AtomicLong firstNanos = new AtomicLong();

    FakeNode(boolean refuseFirst, long stallMillis) {
        this.refuseFirst = refuseFirst;
        this.stallMillis = stallMillis;
    }

    /** Starts to listen on a free port. */
    FakeNode listen() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(this);
        server.start();
        return this;
    }

    int port() {
        return connector.getLocalPort();
    }

    /** Returns the idempotency key and the caller's key of each request. */
    Set<String> requestKeys() {
        return requestKeys;
    }

    /** Returns the paths that were requested. */
    Set<String> paths() {
        return requestedPaths;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String path = request.getHttpURI().getPathQuery();
        requestKeys.add(request.getHeaders().get("Idempotency-Key")
                + request.getHeaders().get("Authorization"));
        long first = firstNanos.updateAndGet(old -> old == 0 ? System.nanoTime() : old);
        long waited = (System.nanoTime() - first) / 1_000_000;
        Thread.sleep(Math.max(0, stallMillis - waited));
        String body = path;
        if (requestedPaths.add(path) && refuseFirst) {
            response.setStatus(503);
            response.getHeaders().put("Trefoilledge-Kind", "OVERLOADED");
            body = "{\"retryAfterMs\":1}";
        }
        Content.Sink.write(response, true, body, callback);
        return true;
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
