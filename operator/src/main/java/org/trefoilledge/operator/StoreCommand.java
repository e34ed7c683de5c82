package org.trefoilledge.operator;

import java.util.List;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;
import picocli.CommandLine.Option;

/** A command that needs the store. */
abstract class StoreCommand extends OperatorCommand {
    /** Bounds one call, so that several fit into the time that the operator gives. */
    private static final long MAX_CALL_MILLIS = 3_000;

    @Option(
            names = "--store",
            required = true,
            paramLabel = "URL",
            description = "An endpoint of the configuration store; repeat it for further endpoints.")
    List<String> endpoints;

    @Option(
            names = "--timeout",
            paramLabel = "SECONDS",
            defaultValue = "10",
            description = "How long to try before the outcome counts as not known (default: ${DEFAULT-VALUE}).")
    int timeoutSeconds;

    StoreCommand(Environment environment) {
        super(environment);
    }

    final Store open() throws SettingsException, StoreException {
        if (timeoutSeconds < 1 || timeoutSeconds > 3_600) {
            throw new SettingsException("--timeout: expected 1 to 3600 seconds, but found: " + timeoutSeconds);
        }
        for (String endpoint : endpoints) {
            if (!endpoint.matches("http://[^/ ]+:[0-9]{1,5}")) {
                throw new SettingsException("--store: expected http://ADDRESS:PORT, but found: " + endpoint);
            }
        }
        try {
            return environment.stores().open(endpoints, Math.min(timeoutMillis(), MAX_CALL_MILLIS));
        } catch (IllegalArgumentException e) {
            throw new SettingsException("--store: " + e.getMessage());
        }
    }

    final long timeoutMillis() {
        return timeoutSeconds * 1_000L;
    }

    /** Returns the command line that tells what became of an operation. */
    final String showOperation(String operation) {
        return "trefoilledge show --operation " + operation + " --store " + String.join(" --store ", endpoints);
    }
}
