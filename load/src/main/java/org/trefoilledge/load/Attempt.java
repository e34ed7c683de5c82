package org.trefoilledge.load;

/**
 * One attempt of a root request. Times are microseconds since the start of the run.
 *
 * @param attemptNumber 0 for the first attempt
 */
record Attempt(
        long rootId, String organisation, int attemptNumber, long sentMicros, long endMicros, AttemptResult result) {}
