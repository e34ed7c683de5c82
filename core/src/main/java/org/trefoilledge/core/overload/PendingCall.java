package org.trefoilledge.core.overload;

/**
 * A queued or running call. Queued calls of one flow form a doubly linked list, so that any call is removed in O(1).
 */
final class PendingCall {
    final GuardedCall call;
    final AdmissionLevel admissionLevel;
    final long arrivedMillis;
    long startedMillis;
    boolean running;
    /** The call as a sample of the learned capacity; null if the capacity is not learned or the call is queued. */
    LearnedCapacity.Sample sample;

    Flow flow;
    PendingCall older;
    PendingCall newer;

    PendingCall(GuardedCall call, AdmissionLevel level, long arrivedMillis) {
        this.call = call;
        this.admissionLevel = level;
        this.arrivedMillis = arrivedMillis;
    }
}
