package org.trefoilledge.configstore;

/** A settings file or inventory that cannot be used. The message names file, line, column and what was expected. */
public class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the operator. */
    public SettingsException(String message) {
        super(message);
    }
}
