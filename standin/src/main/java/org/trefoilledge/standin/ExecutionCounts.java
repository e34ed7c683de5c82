package org.trefoilledge.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts what became of the requests. */
final class ExecutionCounts {
    /** Kinds of outcomes; each is a field of the totals. */
    enum Kind {
        /** Got a slot. */
        STARTED,
        /** Ran to its end, whatever its status. */
        FINISHED,
        /** Ran and was abandoned because the connection was closed. */
        CANCELLED,
        /** Finished after its deadline; also counted as finished. */
        WASTED,
        /** Ended with an error; also counted as finished. */
        FAILED,
        /** Never got a slot: the queue was full. */
        REFUSED,
        /** Never got a slot: its deadline passed while it waited. */
        EXPIRED,
        /** Never got a slot: its connection was closed while it waited. */
        ABANDONED,
        /** Arrived while draining was announced; also counted otherwise. */
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
