package org.trefoilledge.load;

import java.nio.file.Path;

/** A deployment that did not start. The message names the reason and the log directory. */
final class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    StartException(String reason, Path logs) {
        super(reason + "; logs are in " + logs);
    }
}
