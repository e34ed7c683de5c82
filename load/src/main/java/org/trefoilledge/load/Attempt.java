package org.trefoilledge.load;

/**
 * One attempt of a root request. Times are microseconds since the start of the run.
 *
 * @param number 0 for the first attempt
 */
record Attempt(long root, String organisation, int number, long sentMicros, long endMicros, Result result) {}
