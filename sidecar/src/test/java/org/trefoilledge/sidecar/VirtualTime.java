package org.trefoilledge.sidecar;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.trefoilledge.core.Clock;

/** A clock that advances from one scheduled event to the next. */
final class VirtualTime implements Clock {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private long now;
    private long scheduledCount;

    private record Event(long atMillis, long order, Runnable action) {}

    @Override
    public long millis() {
        return now;
    }

    void schedule(long millis, Runnable action) {
        events.add(new Event(now + millis, scheduledCount++, action));
    }

    void scheduleEvery(long millis, Runnable action) {
        schedule(millis, () -> {
            action.run();
            scheduleEvery(millis, action);
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
