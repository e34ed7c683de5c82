package org.trefoilledge.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** The bytes of the last requests, up to a total; older ones are dropped. */
final class ReceivedBytes {
    /** Thousands of small requests; several upstreams run in one test process. */
    static final int MAX_TOTAL_BYTES = 16 * 1024 * 1024;

    private final ArrayDeque<byte[]> requests = new ArrayDeque<>();
    private final int maxTotalBytes;
    private long totalBytes;
    private long droppedRequests;

    ReceivedBytes(int maxTotalBytes) {
        this.maxTotalBytes = maxTotalBytes;
    }

    synchronized void add(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        requests.add(bytes);
        totalBytes += bytes.length;
        while (totalBytes > maxTotalBytes) {
            totalBytes -= requests.remove().length;
            droppedRequests++;
        }
    }

    synchronized boolean contains(String text) {
        String wanted = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        return requests.stream().anyMatch(bytes -> new String(bytes, StandardCharsets.ISO_8859_1).contains(wanted));
    }

    /** Returns how many requests were dropped, so that their bytes are no longer searched. */
    synchronized long droppedRequests() {
        return droppedRequests;
    }
}
