package org.trefoilledge.standin;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Log levels of the stand-in programs. */
final class StandinLogging {
    private StandinLogging() {}

    /** All programs share one directory of libraries, so a configuration file in a jar would hold for all of them. */
    static void configure() {
        ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
        ((Logger) LoggerFactory.getLogger("org.trefoilledge")).setLevel(Level.INFO);
    }
}
