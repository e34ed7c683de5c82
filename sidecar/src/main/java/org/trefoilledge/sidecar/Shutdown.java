package org.trefoilledge.sidecar;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Graceful shutdown of a sidecar. Callers on this host notice only after seconds that the node is not ready, and keep
 * their open connections until the end. The node therefore accepts requests for a while longer, then only those that it
 * can answer in the time left, and ends when all responses have been delivered.
 */
final class Shutdown {
    private static final long POLL_INTERVAL_MILLIS = 50;

    private final Sidecar sidecar;

    Shutdown(Sidecar sidecar) {
        this.sidecar = sidecar;
    }

    void run() {
        StopPlan plan = sidecar.beginStop();
        waitUntil(plan.noticeEndMillis(), () -> false);
        waitUntil(plan.closeMillis(), () -> !sidecar.isBusy());
        sidecar.stopAcceptingRequests();
        waitUntil(plan.endMillis(), () -> !sidecar.isBusy() && sidecar.isDelivered());
        sidecar.terminate();
    }

    /** Waits until the given time, or until the condition holds. */
    private void waitUntil(long timeMillis, BooleanSupplier condition) {
        while (sidecar.clock().millis() < timeMillis && !condition.getAsBoolean()) {
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
