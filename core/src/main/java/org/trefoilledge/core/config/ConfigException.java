package org.trefoilledge.core.config;

/** Configuration data that cannot be used. The message says what is wrong. */
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
