package org.trefoilledge.operator;

import java.nio.file.Path;
import org.trefoilledge.configstore.InventoryFile;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.StoreException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "apply",
        description = "Make an inventory file the configuration in force.",
        footer = {
            "",
            "Drained hosts stay drained. Organisations without key-digests in the file keep their keys.",
            "Exit codes: 0 accepted or nothing to change, 1 rejected or failed, 2 invalid input, 3 not known yet."
        })
final class ApplyCommand extends WriteCommand {
    @Parameters(paramLabel = "FILE", description = "Inventory file (TOML).")
    Path file;

    @Option(
            names = "--base",
            paramLabel = "REVISION",
            description = "The revision that the file was written against; later revisions then count as conflicts."
                    + " Default: the store's revision when the command starts.")
    Long base;

    @Option(
            names = "--on-top",
            description = "When other revisions came first and touch no item that this file changes, write on top.")
    boolean onTop;

    @Option(names = "--grant-again", description = "Let the file grant keys that were withdrawn before.")
    boolean grantAgain;

    ApplyCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws SettingsException, RejectedException, StoreException, InterruptedException {
        if (base != null && base < 0) {
            throw new SettingsException("--base: expected a revision of at least 0, but found: " + base);
        }
        return submit(new ApplyProposal(InventoryFile.read(file), base, onTop, grantAgain));
    }
}
