package org.trefoilledge.standin;

import java.util.ArrayDeque;

/** Allocates the upstream's execution slots. Requests that find no free slot wait in a bounded FIFO queue. */
final class Slots {
    private final int slots;
    private final int queueLimit;
    private final ArrayDeque<Execution> waiting = new ArrayDeque<>();
    private int running;

    /** Result of a request for a slot. */
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

    /** Removes a request from the queue. Returns false if the request was not in the queue. */
    synchronized boolean remove(Execution execution) {
        return waiting.remove(execution);
    }

    /** Releases a slot. Returns the waiting request that the slot is passed to, or null if the queue is empty. */
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
