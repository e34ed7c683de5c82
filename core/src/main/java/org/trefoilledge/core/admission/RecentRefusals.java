package org.trefoilledge.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * The requests that were refused in the last seconds, by which requests that arrive again are recognised. Answers a
 * failing service, for which more and more requests arrive again while only a part can be admitted. Not thread-safe.
 */
public final class RecentRefusals {
    /** Longer than the deadline of most requests; callers do not repeat a request after it. */
    private static final long RETENTION_MILLIS = 5_000;
    /** Bounds the memory; a node rarely refuses more requests in the retention time. */
    private static final int MAX_REQUESTS = 4_096;

    private final Set<String> ids = new HashSet<>();
    private final Deque<Refusal> refusals = new ArrayDeque<>();

    private record Refusal(String id, long expiryMillis) {}

    /**
     * Records that a request was refused.
     *
     * @param now current time in milliseconds
     */
    public void add(String id, long now) {
        expire(now);
        if (!id.isEmpty() && ids.add(id)) {
            refusals.addLast(new Refusal(id, now + RETENTION_MILLIS));
        }
    }

    /** Returns whether the request was refused in the last seconds. */
    public boolean contains(String id, long now) {
        expire(now);
        return ids.contains(id);
    }

    private void expire(long now) {
        while (!refusals.isEmpty() && (refusals.peekFirst().expiryMillis() <= now || refusals.size() >= MAX_REQUESTS)) {
            ids.remove(refusals.removeFirst().id());
        }
    }
}
