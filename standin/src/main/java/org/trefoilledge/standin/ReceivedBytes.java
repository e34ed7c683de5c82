package org.trefoilledge.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** Keeps the raw bytes of the most recent requests up to a total size, and drops the oldest beyond it. */
final class ReceivedBytes {
    /** Enough for thousands of small requests; bounds the memory of a test process that runs several upstreams. */
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
        String encodedText = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        return requests.stream()
                .anyMatch(bytes -> new String(bytes, StandardCharsets.ISO_8859_1).contains(encodedText));
    }

    /** Returns the number of dropped requests, which {@link #contains} no longer searches. */
    synchronized long droppedRequests() {
        return droppedRequests;
    }
}
