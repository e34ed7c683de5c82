package org.trefoilledge.sidecar;

/**
 * Bounds the bytes of bodies that all connections of this process hold together, so that neither a caller nor an upstream
 * can exhaust the heap. Used on the traffic thread.
 */
final class BodyMemoryLimit {
    /** Part of the heap for bodies; encoding them for another node or a caller takes up to three times as much again. */
    private static final double HEAP_FRACTION = 0.15;

    private final long maxBytes;
    private long reservedBytes;

    BodyMemoryLimit(long boundBytes) {
        this.maxBytes = boundBytes;
    }

    /** Returns a room for a part of this process's heap. */
    static BodyMemoryLimit forHeap() {
        return new BodyMemoryLimit((long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION));
    }

    /** Takes room for some bytes; returns false, and takes none, if they do not fit. */
    boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Gives back room that was taken. */
    void release(long bytes) {
        reservedBytes -= bytes;
    }

    long reservedBytes() {
        return reservedBytes;
    }
}
