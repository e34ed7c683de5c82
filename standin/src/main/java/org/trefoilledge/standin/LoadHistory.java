package org.trefoilledge.standin;

import java.util.ArrayDeque;

/** Keeps recent load samples, so that endpoints can report the load with a lag. */
final class LoadHistory {
    static final long SAMPLE_INTERVAL_MILLIS = 100;
    private static final int MAX_SAMPLES = 1_200;

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    /** The load at a time of the monotonic clock, in milliseconds. */
    record Sample(long timeMillis, UpstreamState state, int running, int waiting) {}

    synchronized void add(Sample sample) {
        samples.addLast(sample);
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the latest sample at or before the given time, or the oldest sample if there is none. */
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
