package org.trefoilledge.standin;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Polls until a condition holds that another thread establishes. */
final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private Await() {}

    static void until(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.call()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition did not hold within 10 s");
            }
            Thread.sleep(5);
        }
    }
}
