package org.trefoilledge.sidecar;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Addresses for servers that are configured before they listen. */
final class FreePorts {
    private static final int FIRST = 12_000;
    /** Outgoing connections may take a port from here on before the server listens on it. */
    private static final int FIRST_EPHEMERAL = 32_768;
    /** Starts at random, so that test runs beside each other rarely meet. */
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(FIRST, FIRST_EPHEMERAL));

    private FreePorts() {}

    /**
     * Returns a loopback address with an unused port. An address is not returned twice in a test run, because the first
     * server may not listen yet at the second call.
     */
    static InetSocketAddress nextAddress() throws IOException {
        for (int attempt = FIRST; attempt < FIRST_EPHEMERAL; attempt++) {
            int port = NEXT.getAndUpdate(last -> last + 1 < FIRST_EPHEMERAL ? last + 1 : FIRST);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
            } catch (BindException inUse) {
                // Try the next port.
            }
        }
        throw new IOException("no free port between " + FIRST + " and " + FIRST_EPHEMERAL);
    }
}
