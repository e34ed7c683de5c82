package org.trefoilledge.load;

import java.util.List;

/**
 * One run of an experiment under one profile.
 *
 * @param failures timed actions that failed
 */
record ProfileRun(String profile, Figures figures, TimeSeries series, List<String> failures) {
    ProfileRun {
        failures = List.copyOf(failures);
    }
}
