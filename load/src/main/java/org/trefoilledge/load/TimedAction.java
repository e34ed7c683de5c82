package org.trefoilledge.load;

import java.net.URI;
import java.util.List;
import java.util.Locale;

/**
 * An action performed at a given time of a run.
 *
 * @param kind the kind of action
 * @param targets control endpoints for {@link Kind#PUT}, else process names or patterns such as {@code node:*}
 * @param body body of the PUT request
 */
record TimedAction(double atSeconds, Kind kind, List<String> targets, String body) {
    /** The kinds of actions. */
    enum Kind {
        PUT,
        START,
        STOP,
        KILL,
        FREEZE,
        RESUME;

        String key() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    TimedAction {
        targets = List.copyOf(targets);
    }

    static boolean isUrl(String target) {
        try {
            return URI.create(target).getHost() != null;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
