package org.trefoilledge.load;

/** A named part of a run, reported on its own line. */
record Phase(String name, double fromSeconds, double toSeconds) {
    boolean contains(double seconds) {
        return seconds >= fromSeconds && seconds < toSeconds;
    }
}
