package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.trefoilledge.configstore.InventoryFile;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.InventoryDiff;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(name = "diff", description = "Show what apply would change.")
final class DiffCommand extends StoreCommand {
    @Parameters(paramLabel = "FILE", description = "Inventory file (TOML).")
    Path file;

    DiffCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws SettingsException, RejectedException, StoreException {
        InventoryFile wanted = InventoryFile.read(file);
        try (Store store = open()) {
            return compare(
                    new ConfigWriter(store, environment, timeoutMillis()).read(ConfigWriter.Oldest.HEAD), wanted);
        }
    }

    private static Answer compare(ConfigHistory history, InventoryFile wanted) throws RejectedException {
        Inventory after = wanted.over(history.inventory());
        var fixed = InventoryDiff.forbiddenChange(history.inventory(), after);
        if (fixed.isPresent()) {
            throw new RejectedException(fixed.get());
        }
        List<String> changes = ChangeText.lines(InventoryDiff.changes(history.inventory(), after), history.inventory());
        List<String> lines = new ArrayList<>();
        lines.add(changes.size() + " changes against revision " + history.revision());
        changes.forEach(change -> lines.add("  " + change));
        ObjectNode object = Answer.object("compared").put("revision", history.revision());
        changes.forEach(object.putArray("changes")::add);
        return new Answer(ExitCode.DONE, lines, object);
    }
}
