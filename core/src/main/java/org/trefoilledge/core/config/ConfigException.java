package org.trefoilledge.core.config;

/** Thrown when configuration data is invalid. */
public class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the operator. */
    public ConfigException(String message) {
        super(message);
    }

    /** Creates an exception with a message for the operator and its cause. */
    public ConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
