package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.LogEntry;
import org.trefoilledge.platform.SettingsException;
import org.trefoilledge.platform.Store;
import org.trefoilledge.platform.StoreException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "show", description = "Show the configuration in the store, or what became of an operation.")
final class ShowCommand extends StoreCommand {
    /** Operation ids start with the revision that the operation tried to create. */
    private static final Pattern OPERATION = Pattern.compile("([1-9][0-9]{0,9})-[0-9a-z]{1,64}");

    @Option(names = "--operation", paramLabel = "ID", description = "Tell whether this operation was accepted.")
    String operation;

    ShowCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws SettingsException, RejectedException, StoreException {
        Matcher matcher = operation == null ? null : OPERATION.matcher(operation);
        if (matcher != null && !matcher.matches()) {
            throw new SettingsException("--operation: expected an id such as 8-3f2a9c, but found: " + operation);
        }
        try (Store store = open()) {
            ConfigHistory history = new ConfigWriter(store, environment, timeoutMillis()).read();
            return matcher == null ? configuration(history) : operation(history, Long.parseLong(matcher.group(1)));
        }
    }

    private static Answer configuration(ConfigHistory history) {
        List<String> lines = new ArrayList<>();
        lines.add("revision " + history.revision());
        lines.addAll(InventoryText.lines(history.inventory()));
        ObjectNode object = Answer.object("shown").put("revision", history.revision());
        object.put("digest", history.digest(history.revision()));
        object.set("inventory", ConfigCodec.json().valueToTree(history.inventory()));
        return new Answer(ExitCode.DONE, lines, object);
    }

    private Answer operation(ConfigHistory history, long revision) {
        Optional<LogEntry> found = history.operation(operation);
        if (found.isPresent()) {
            List<String> lines = new ArrayList<>(
                    List.of("accepted at revision " + found.get().revision()));
            ChangeText.lines(found.get().changes(), history.at(found.get().revision() - 1))
                    .forEach(line -> lines.add("  " + line));
            ObjectNode object =
                    Answer.object("accepted").put("revision", found.get().revision());
            return new Answer(ExitCode.DONE, lines, object.put("operation", operation));
        }
        if (history.revision() >= revision) {
            String taken = "revision " + revision + " was taken by operation "
                    + history.entry(revision).operation();
            return Answer.failure(ExitCode.FAILED, "rejected", taken, List.of("it can no longer take effect"));
        }
        return Answer.failure(
                ExitCode.NOT_KNOWN,
                "not known yet",
                "revision " + revision + " is still free, a delayed write may take it",
                List.of("run the command that wrote it again: whichever write comes first takes the revision"));
    }
}
