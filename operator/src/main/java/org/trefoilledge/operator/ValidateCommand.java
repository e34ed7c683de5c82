package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import org.trefoilledge.configstore.InventoryFile;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.core.config.Inventory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(name = "validate", description = "Check an inventory file without using the store.")
final class ValidateCommand extends OperatorCommand {
    @Parameters(paramLabel = "FILE", description = "Inventory file (TOML).")
    Path file;

    ValidateCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws SettingsException {
        Inventory inventory = InventoryFile.read(file).inventory();
        ObjectNode object = Answer.object("valid");
        InventoryText.counts(inventory).forEach(object::put);
        return new Answer(
                ExitCode.DONE, List.of(file.getFileName() + " is valid: " + InventoryText.summary(inventory)), object);
    }
}
