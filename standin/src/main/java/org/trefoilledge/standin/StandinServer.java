package org.trefoilledge.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiFunction;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server of a stand-in. It has few threads, so handlers must not block. */
final class StandinServer implements AutoCloseable {
    /** Sufficient for handlers that only schedule work; kept low because test processes run many stand-ins. */
    private static final int MAX_THREADS = 16;

    private static final long IDLE_TIMEOUT_MILLIS = 120_000;

    private final Server server;
    private final ServerConnector connector;

    StandinServer(
            String name,
            InetSocketAddress listen,
            Handler handler,
            BiFunction<Server, HttpConnectionFactory, ServerConnector> connectorFactory) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
        threads.setName(name);
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        connector = connectorFactory.apply(server, new HttpConnectionFactory(configuration));
        connector.setHost(listen.getAddress().getHostAddress());
        connector.setPort(listen.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        server.setHandler(handler);
    }

    ServerConnector connector() {
        return connector;
    }

    StandinServer start() throws IOException {
        try {
            server.start();
            return this;
        } catch (IOException e) {
            close();
            throw e;
        } catch (Exception e) {
            close();
            throw new IOException("cannot start the HTTP server: " + e.getMessage(), e);
        }
    }

    int port() {
        return connector.getLocalPort();
    }

    String host() {
        return connector.getHost();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP server did not stop", e);
        }
    }
}
