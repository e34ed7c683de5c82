package org.trefoilledge.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP listeners of a node: HTTP/1.1 and cleartext HTTP/2 for callers, HTTP/1.1 for upstream and operators. */
final class HttpServers implements AutoCloseable {
    private static final int THREADS = 32;
    private static final long IDLE_MILLIS = 60_000;
    private static final int HEADER_BYTES = 16 * 1024;

    private final List<Server> servers = new ArrayList<>();
    private Server callers;

    HttpServers callers(InetSocketAddress address, Handler handler) {
        callers = server("callers", address, handler, true);
        return this;
    }

    HttpServers local(InetSocketAddress address, Handler handler) {
        server("local", address, handler, false);
        return this;
    }

    HttpServers operators(InetSocketAddress address, Handler handler) {
        server("operators", address, handler, false);
        return this;
    }

    void start() throws Exception {
        for (Server server : servers) {
            server.start();
        }
    }

    /**
     * Stops accepting callers: the listener closes and HTTP/2 connections get GOAWAY, while running requests go on. The
     * future of the shutdown is not awaited, because the caller waits for its own count of requests.
     */
    void shutdownCallers() {
        for (var connector : callers.getConnectors()) {
            var unused = connector.shutdown();
        }
    }

    private Server server(String name, InetSocketAddress address, Handler handler, boolean http2) {
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setName(name);
        Server server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setRequestHeaderSize(HEADER_BYTES);
        configuration.setResponseHeaderSize(HEADER_BYTES);
        HttpConnectionFactory http1 = new HttpConnectionFactory(configuration);
        ServerConnector connector = http2
                ? new ServerConnector(server, 1, 2, http1, new HTTP2CServerConnectionFactory(configuration))
                : new ServerConnector(server, 1, 1, http1);
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_MILLIS);
        connector.setAcceptQueueSize(1024);
        server.addConnector(connector);
        server.setHandler(handler);
        servers.add(server);
        return server;
    }

    @Override
    public void close() throws Exception {
        for (Server server : servers) {
            server.stop();
        }
    }
}
