package org.trefoilledge.sidecar;

/**
 * Bounds the bytes of bodies that all connections of this process hold together, so that neither a caller nor an upstream
 * can exhaust the heap. Used on the traffic thread.
 */
final class BodyRoom {
    /** Part of the heap for bodies; encoding them for another node or a caller takes up to three times as much again. */
    private static final double HEAP_PART = 0.15;

    private final long boundBytes;
    private long heldBytes;

    BodyRoom(long boundBytes) {
        this.boundBytes = boundBytes;
    }

    /** Returns a room for a part of this process's heap. */
    static BodyRoom ofHeap() {
        return new BodyRoom((long) (Runtime.getRuntime().maxMemory() * HEAP_PART));
    }

    /** Takes room for some bytes; returns false, and takes none, if they do not fit. */
    boolean take(long bytes) {
        if (heldBytes + bytes > boundBytes) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /** Gives back room that was taken. */
    void giveBack(long bytes) {
        heldBytes -= bytes;
    }

    long heldBytes() {
        return heldBytes;
    }
}
