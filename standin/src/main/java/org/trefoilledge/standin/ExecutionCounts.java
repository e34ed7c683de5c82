package org.trefoilledge.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts requests by outcome, and started executions by idempotency key. */
final class ExecutionCounts {
    /** Events and outcomes of requests. The lower-case name is the key in the totals. */
    enum Kind {
        /** Started in a slot. */
        STARTED,
        /** Completed with a response of any status. */
        FINISHED,
        /** Cancelled while running because its connection was closed. */
        CANCELLED,
        /** Finished after its deadline; also counted as finished. */
        WASTED,
        /** Finished with status 500 or above; also counted as finished. */
        FAILED,
        /** Rejected because the queue was full. */
        REFUSED,
        /** Not started because its deadline passed in the queue. */
        EXPIRED,
        /** Not started because its connection was closed while it waited in the queue. */
        ABANDONED,
        /** Arrived in state draining; also counted by its outcome. */
        LATE
    }

    private final Map<Kind, LongAdder> totals = new ConcurrentHashMap<>();
    private final Map<String, Long> executionsByKey = new ConcurrentHashMap<>();

    void count(Kind kind) {
        totals.computeIfAbsent(kind, k -> new LongAdder()).increment();
    }

    void countStarted(String idempotencyKey) {
        count(Kind.STARTED);
        if (idempotencyKey != null) {
            executionsByKey.merge(idempotencyKey, 1L, Long::sum);
        }
    }

    Map<String, Long> totals() {
        Map<String, Long> all = new TreeMap<>();
        for (Kind kind : Kind.values()) {
            LongAdder count = totals.get(kind);
            all.put(kind.name().toLowerCase(java.util.Locale.ROOT), count == null ? 0 : count.sum());
        }
        return all;
    }

    Map<String, Long> executionsByKey() {
        return new TreeMap<>(executionsByKey);
    }
}
