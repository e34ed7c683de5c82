package org.trefoilledge.load;

import java.util.List;

/**
 * One run of an experiment under one profile.
 *
 * @param failures timed actions that failed
 */
record ProfileRun(String profile, RunStatistics statistics, TimeSeries series, List<String> failures) {
    ProfileRun {
        failures = List.copyOf(failures);
    }
}
