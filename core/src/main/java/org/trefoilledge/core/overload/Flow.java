package org.trefoilledge.core.overload;

/** The queued calls of one organisation in one importance class, in order of arrival. */
final class Flow {
    final FairQueue queue;
    double weight;
    /** Virtual time at which the last dispatched call of this flow finishes. */
    double virtualFinishTime;

    PendingCall oldest;
    PendingCall newest;
    int size;

    Flow(FairQueue queue, double weight) {
        this.queue = queue;
        this.weight = weight;
    }

    void add(PendingCall call) {
        call.flow = this;
        call.older = newest;
        if (newest == null) {
            oldest = call;
        } else {
            newest.newer = call;
        }
        newest = call;
        size++;
    }

    void remove(PendingCall call) {
        if (call.older == null) {
            oldest = call.newer;
        } else {
            call.older.newer = call.newer;
        }
        if (call.newer == null) {
            newest = call.older;
        } else {
            call.newer.older = call.older;
        }
        call.older = null;
        call.newer = null;
        size--;
    }
}
