package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.LogEntry;
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
            ConfigWriter writer = new ConfigWriter(store, environment, timeoutMillis());
            if (matcher == null) {
                return configuration(writer.read(ConfigWriter.Oldest.HEAD));
            }
            long revision = Long.parseLong(matcher.group(1));
            return operation(writer.read(head -> revision - 1), revision);
        }
    }

    private static Answer configuration(ConfigHistory history) {
        List<String> lines = new ArrayList<>();
        lines.add("revision " + history.revision());
        lines.addAll(InventoryText.lines(history.inventory()));
        ObjectNode object = Answer.object("shown").put("revision", history.revision());
        object.put("digest", history.digest(history.revision()).orElseThrow());
        object.set("inventory", ConfigCodec.json().valueToTree(history.inventory()));
        return new Answer(ExitCode.DONE, lines, object);
    }

    private Answer operation(ConfigHistory history, long revision) {
        if (history.revision() >= revision) {
            return decided(history, history.entry(revision));
        }
        return Answer.failure(
                ExitCode.NOT_KNOWN,
                "not known yet",
                "revision " + revision + " is still free, a delayed write may take it",
                List.of("run the command that wrote it again: whichever write comes first takes the revision"));
    }

    private Answer decided(ConfigHistory history, LogEntry entry) {
        if (!entry.operation().equals(operation)) {
            String taken = "revision " + entry.revision() + " was taken by operation " + entry.operation();
            return Answer.failure(ExitCode.FAILED, "rejected", taken, List.of("it can no longer take effect"));
        }
        List<String> lines = new ArrayList<>(List.of("accepted at revision " + entry.revision()));
        ChangeText.lines(entry.changes(), history.at(entry.revision() - 1)).forEach(line -> lines.add("  " + line));
        ObjectNode object = Answer.object("accepted").put("revision", entry.revision());
        return new Answer(ExitCode.DONE, lines, object.put("operation", operation));
    }
}
