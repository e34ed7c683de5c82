package org.trefoilledge.standin;

import java.util.ArrayDeque;

/** Samples of the load, for endpoints that tell what it was some time ago. */
final class LoadHistory {
    static final long SAMPLE_INTERVAL_MILLIS = 100;
    private static final int MAX_SAMPLES = 1_200;

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    /** The load at a time of the monotonic clock. */
    record Sample(long timeMillis, UpstreamState state, int running, int waiting) {}

    synchronized void add(Sample sample) {
        samples.addLast(sample);
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the last sample that is not younger than the time, or the oldest if all are younger. */
    synchronized Sample latestAt(long millis) {
        Sample found = samples.getFirst();
        for (Sample sample : samples) {
            if (sample.timeMillis() > millis) {
                break;
            }
            found = sample;
        }
        return found;
    }
}
