package org.trefoilledge.operator;

/** Waits between attempts, in milliseconds. */
@FunctionalInterface
interface Pause {
    void pause(long millis) throws InterruptedException;
}
