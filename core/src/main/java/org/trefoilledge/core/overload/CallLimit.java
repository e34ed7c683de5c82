package org.trefoilledge.core.overload;

import org.trefoilledge.core.RouteId;

/** Limit of the concurrent calls to one upstream. */
interface CallLimit {
    /** Sets the announced slots. */
    void resize(int newSlots);

    /** Records that a call is offered. */
    void offer(long now);

    /** Returns the number of calls that may run concurrently now, at least 1. */
    int current(long now);

    /** Returns the limit that is reported to other nodes. */
    int reported(long now);

    /** Records that a call starts as one of the given number of running calls. */
    void start(PendingCall call, int running, long now);

    /** Records the end of a running call. */
    void end(PendingCall call, CallEnd end, long now);

    /** Forgets what has been measured, because another upstream has taken the place of the previous one. */
    void restart();

    /** Returns the present service time of a route in milliseconds, 0 if it is not measured by route or not known. */
    double serviceTimeMillis(RouteId route, long now);

    /** Returns the speed near the limit relative to the speed at low concurrency, 1 if it is not known. */
    double relativeSpeed();
}
