package org.trefoilledge.sidecar;

import java.util.concurrent.TimeUnit;

/**
 * A planned stop. Callers on this host notice only after seconds that it takes no more work, and keep their open
 * connections until the end; so the process serves on for a while and then waits for what it has begun.
 */
final class Shutdown {
    /** Time in which callers notice that this node is not ready. */
    private static final long READINESS_NOTICE_MILLIS = 3_000;
    /** Part of the time to stop after which nothing new is taken. */
    private static final double REFUSE_AFTER_FRACTION = 0.7;
    /** Part of the time to stop after which the process ends, whatever still runs. */
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
        long lastWork = (long) (sidecar.stopMillis() * REFUSE_AFTER_FRACTION);
        waitUntil(Math.min(READINESS_NOTICE_MILLIS, lastWork), false);
        waitUntil(lastWork, true);
        sidecar.stopAcceptingRequests();
        waitUntil((long) (sidecar.stopMillis() * EXIT_AFTER_FRACTION), true);
        sidecar.terminate();
    }

    private void waitUntil(long afterMillis, boolean onlyWhileBusy) {
        while (sidecar.clock().millis() - startMillis < afterMillis) {
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
