package org.trefoilledge.sidecar;

import java.util.concurrent.TimeUnit;

/**
 * Graceful shutdown of a sidecar. Callers on this host notice only after seconds that the node is not ready, and keep
 * their open connections until the end. The node therefore accepts requests for a while longer and then waits for the
 * running ones.
 */
final class Shutdown {
    /** Time for callers to notice that this node is not ready. */
    private static final long READINESS_NOTICE_MILLIS = 3_000;
    /** Fraction of the stop time after which new requests are refused. */
    private static final double REFUSE_AFTER_FRACTION = 0.7;
    /** Fraction of the stop time after which the sidecar terminates, even if requests are still running. */
    private static final double EXIT_AFTER_FRACTION = 0.85;

    private static final long POLL_INTERVAL_MILLIS = 50;

    private final Sidecar sidecar;
    private final long startMillis;

    Shutdown(Sidecar sidecar) {
        this.sidecar = sidecar;
        this.startMillis = sidecar.clock().millis();
    }

    void run() {
        sidecar.beginStop();
        long refuseAfterMillis = (long) (sidecar.stopMillis() * REFUSE_AFTER_FRACTION);
        waitUntil(Math.min(READINESS_NOTICE_MILLIS, refuseAfterMillis), false);
        waitUntil(refuseAfterMillis, true);
        sidecar.stopAcceptingRequests();
        waitUntil((long) (sidecar.stopMillis() * EXIT_AFTER_FRACTION), true);
        sidecar.terminate();
    }

    /**
     * Waits until the given time has passed since the start of the shutdown, or, with {@code onlyWhileBusy}, until no
     * request is open.
     */
    private void waitUntil(long elapsedMillis, boolean onlyWhileBusy) {
        while (sidecar.clock().millis() - startMillis < elapsedMillis) {
            if (onlyWhileBusy && sidecar.openRequests() == 0) {
                return;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
