package org.trefoilledge.sidecar;

/**
 * The times of a planned stop. A request that arrives during the stop is either answered in the time left, or refused at
 * once: the choice is made when it arrives, because a request that an upstream runs must not be broken off.
 *
 * @param startMillis start of the stop
 * @param stopMillis time until the process is killed
 */
record StopPlan(long startMillis, long stopMillis) {
    /** Time for callers to notice that this node is not ready. All requests that arrive within it are accepted. */
    private static final long NOTICE_MILLIS = 2_700;
    /** Limit of the notice time as a fraction of the stop time, so that accepted requests have time to run. */
    private static final double MAX_NOTICE_FRACTION = 0.45;
    /** Time to end the process after its last response, before it is killed. */
    private static final long EXIT_MILLIS = 500;

    private static final double MAX_EXIT_FRACTION = 0.1;
    /** Time to deliver a response after the time limit of its request. */
    private static final long DELIVERY_MILLIS = 150;
    /** Time before the end at which idle connections are closed, so that callers notice it before the process ends. */
    private static final long CLOSE_MILLIS = 500;

    private static final double MAX_CLOSE_FRACTION = 0.1;

    /** Returns the time until which all requests are accepted. */
    long noticeEndMillis() {
        return startMillis + Math.min(NOTICE_MILLIS, (long) (stopMillis * MAX_NOTICE_FRACTION));
    }

    /** Returns the time at which the node stops to accept connections and closes the idle ones. */
    long closeMillis() {
        return endMillis() - Math.min(CLOSE_MILLIS, (long) (stopMillis * MAX_CLOSE_FRACTION));
    }

    /** Returns the latest time at which the process ends. */
    long endMillis() {
        return startMillis + stopMillis - Math.min(EXIT_MILLIS, (long) (stopMillis * MAX_EXIT_FRACTION));
    }

    /**
     * Returns whether a request is accepted. After the notice time, it is accepted only if its time limit ends early enough
     * for any answer to be delivered.
     *
     * @param receivedMillis time at which the request was read
     * @param timeoutMillis longest time for which the caller waits
     */
    boolean accepts(long receivedMillis, long timeoutMillis) {
        return receivedMillis < noticeEndMillis() || timeoutMillis <= endMillis() - DELIVERY_MILLIS - receivedMillis;
    }
}
