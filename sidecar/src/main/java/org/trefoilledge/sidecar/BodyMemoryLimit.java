package org.trefoilledge.sidecar;

/**
 * Limits the total size of the request and response bodies that this process buffers, so that neither a caller nor an
 * upstream can exhaust the heap. Not thread-safe: used on the traffic thread only.
 */
final class BodyMemoryLimit {
    /** Heap fraction for buffered bodies. To encode them for a peer or caller takes up to three times as much again. */
    private static final double HEAP_FRACTION = 0.15;

    private final long maxBytes;
    private long reservedBytes;

    BodyMemoryLimit(long boundBytes) {
        this.maxBytes = boundBytes;
    }

    /** Returns a limit in proportion to the maximum heap size of this process. */
    static BodyMemoryLimit forHeap() {
        return new BodyMemoryLimit((long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION));
    }

    /** Reserves memory for a part of a body. Returns false, and reserves nothing, if the limit would be exceeded. */
    boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases memory that was reserved before. */
    void release(long bytes) {
        reservedBytes -= bytes;
    }

    long reservedBytes() {
        return reservedBytes;
    }
}
