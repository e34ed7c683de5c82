package org.trefoilledge.sidecar;

import java.util.concurrent.TimeUnit;

/**
 * A planned stop. Callers on this host notice only after seconds that it takes no more work, and keep their open
 * connections until the end; so the process serves on for a while and then waits for what it has begun.
 */
final class Shutdown {
    /** Time in which callers notice that this node is not ready. */
    private static final long NOTICE_MILLIS = 3_000;
    /** Part of the time to stop after which nothing new is taken. */
    private static final double LAST_WORK_PART = 0.7;
    /** Part of the time to stop after which the process ends, whatever still runs. */
    private static final double END_PART = 0.85;

    private static final long POLL_MILLIS = 50;

    private final Sidecar sidecar;
    private final long started;

    Shutdown(Sidecar sidecar) {
        this.sidecar = sidecar;
        this.started = sidecar.clock().millis();
    }

    void run() {
        sidecar.beginStop();
        long lastWork = (long) (sidecar.stopMillis() * LAST_WORK_PART);
        waitUntil(Math.min(NOTICE_MILLIS, lastWork), false);
        waitUntil(lastWork, true);
        sidecar.refuseWork();
        waitUntil((long) (sidecar.stopMillis() * END_PART), true);
        sidecar.end();
    }

    private void waitUntil(long afterMillis, boolean onlyWhileBusy) {
        while (sidecar.clock().millis() - started < afterMillis) {
            if (onlyWhileBusy && sidecar.openRequests() == 0) {
                return;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
