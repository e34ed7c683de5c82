package org.trefoilledge.wire;

/**
 * Settings of a transport.
 *
 * @param listen IP address and port to listen on, for example {@code 127.0.0.1:8082}; port 0 selects a free port
 * @param maxBodyBytes maximum size of a call's body; a frame may be {@link #FRAME_OVERHEAD_BYTES} larger
 * @param maxUnwrittenBytes maximum number of request bytes that wait to be written to one connection; for responses
 *     the bound is four times as large
 * @param connectTimeoutMillis timeout for opening a connection, and again for receiving the peer's identity
 * @param idleMillis time after which an unused outgoing connection is closed, at the latest after twice this time
 * @param stallMillis time without a response after which a request that times out or is cancelled retires its
 *     connection; a retired connection receives no new requests
 * @param threads number of network threads
 */
public record TransportSettings(
        String listen,
        int maxBodyBytes,
        int maxUnwrittenBytes,
        int connectTimeoutMillis,
        int idleMillis,
        int stallMillis,
        int threads) {
    /** Maximum bytes of a frame besides a call's body, for headers, and for chunks of tables and configuration. */
    public static final int FRAME_OVERHEAD_BYTES = 2 * 1024 * 1024;

    private static final int DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
    private static final int DEFAULT_MAX_UNWRITTEN_BYTES = 16 * 1024 * 1024;
    private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int DEFAULT_IDLE_MILLIS = 60_000;
    /**
     * Longer than the usual deadline of 2 s. Without this bound, TCP would wait up to 2 minutes after a partition has
     * healed.
     */
    private static final int DEFAULT_STALL_MILLIS = 3_000;

    private static final int DEFAULT_THREADS = 2;

    /** Checks the ranges of the values. */
    public TransportSettings {
        PeerAddress.parse(listen);
        requireAtLeast("maxBodyBytes", maxBodyBytes, 0);
        requireAtLeast("connectTimeoutMillis", connectTimeoutMillis, 1);
        requireAtLeast("idleMillis", idleMillis, 1);
        requireAtLeast("stallMillis", stallMillis, 1);
        requireAtLeast("threads", threads, 1);
        if (maxBodyBytes > Integer.MAX_VALUE - 2 * FRAME_OVERHEAD_BYTES) {
            throw new IllegalArgumentException("maxBodyBytes is too large: " + maxBodyBytes);
        }
        requireAtLeast("maxUnwrittenBytes", maxUnwrittenBytes, 1);
    }

    /** Returns the default settings for an address to listen on. */
    public static TransportSettings of(String listen) {
        return new TransportSettings(
                listen,
                DEFAULT_MAX_BODY_BYTES,
                DEFAULT_MAX_UNWRITTEN_BYTES,
                DEFAULT_CONNECT_TIMEOUT_MILLIS,
                DEFAULT_IDLE_MILLIS,
                DEFAULT_STALL_MILLIS,
                DEFAULT_THREADS);
    }

    /** Returns a copy with the given maximum size of bodies. */
    public TransportSettings withMaxBodyBytes(int bytes) {
        return new TransportSettings(
                listen, bytes, maxUnwrittenBytes, connectTimeoutMillis, idleMillis, stallMillis, threads);
    }

    /** Returns a copy with the given maximum number of unwritten bytes. */
    public TransportSettings withMaxUnwrittenBytes(int bytes) {
        return new TransportSettings(
                listen, maxBodyBytes, bytes, connectTimeoutMillis, idleMillis, stallMillis, threads);
    }

    /** Returns a copy with the given timeouts, all in milliseconds. */
    public TransportSettings withTimeouts(int connectTimeout, int idle, int stall) {
        return new TransportSettings(listen, maxBodyBytes, maxUnwrittenBytes, connectTimeout, idle, stall, threads);
    }

    int maxFrameBytes() {
        return maxBodyBytes + FRAME_OVERHEAD_BYTES;
    }

    private static void requireAtLeast(String name, int value, int minimum) {
        if (value < minimum) {
            throw new IllegalArgumentException(name + " must be at least " + minimum + ", but was: " + value);
        }
    }
}
