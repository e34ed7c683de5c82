package org.trefoilledge.standin;

import java.util.ArrayDeque;

/** Hands out the upstream's slots; requests without one wait in the order of their arrival. */
final class Slots {
    private final int slots;
    private final int queueLimit;
    private final ArrayDeque<Execution> waiting = new ArrayDeque<>();
    private int running;

    /** What became of a request that asked for a slot. */
    enum Offer {
        RUN,
        WAIT,
        REFUSE
    }

    Slots(int slots, int queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    synchronized Offer offer(Execution execution) {
        if (running < slots) {
            running++;
            return Offer.RUN;
        }
        if (waiting.size() >= queueLimit) {
            return Offer.REFUSE;
        }
        waiting.add(execution);
        return Offer.WAIT;
    }

    /** Takes a waiting request out of the queue; false if it was not waiting any more. */
    synchronized boolean remove(Execution execution) {
        return waiting.remove(execution);
    }

    /** Returns the request that gets the slot which has become free, null if none waits. */
    synchronized Execution release() {
        Execution next = waiting.poll();
        if (next == null) {
            running--;
        }
        return next;
    }

    synchronized int running() {
        return running;
    }

    synchronized int waiting() {
        return waiting.size();
    }
}
