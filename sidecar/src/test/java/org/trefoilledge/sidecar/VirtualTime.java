package org.trefoilledge.sidecar;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.trefoilledge.core.Clock;

/** A clock that jumps from one planned event to the next. */
final class VirtualTime implements Clock {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private long now;
    private long planned;

    private record Event(long atMillis, long order, Runnable action) {}

    @Override
    public long millis() {
        return now;
    }

    void in(long millis, Runnable action) {
        events.add(new Event(now + millis, planned++, action));
    }

    void every(long millis, Runnable action) {
        in(millis, () -> {
            action.run();
            every(millis, action);
        });
    }

    void runUntil(long millis) {
        while (!events.isEmpty() && events.peek().atMillis() <= millis) {
            Event next = events.poll();
            now = next.atMillis();
            next.action().run();
        }
        now = millis;
    }
}
