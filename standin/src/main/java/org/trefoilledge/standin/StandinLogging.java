package org.trefoilledge.standin;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Configures the log levels of the stand-in programs. */
final class StandinLogging {
    private StandinLogging() {}

    /** Sets the levels in code: all programs share one library directory, so a file in a jar would apply to all. */
    static void configure() {
        ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
        ((Logger) LoggerFactory.getLogger("org.trefoilledge")).setLevel(Level.INFO);
    }
}
