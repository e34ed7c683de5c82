package org.trefoilledge.operator;

import java.nio.file.Path;
import java.util.List;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.KeyDigest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "withdraw",
        description = "Withdraw a key from its organisation.",
        footer = {
            "",
            "Remove the digest from the inventory file as well: apply rejects a file that would grant it again."
        })
final class WithdrawCommand extends WriteCommand {
    @Parameters(
            paramLabel = "DIGEST-OR-KEY-FILE",
            description = "The key's SHA-256 digest (64 hexadecimal digits), or a file that contains the key.")
    String digestOrKeyFile;

    WithdrawCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws SettingsException, RejectedException, StoreException, InterruptedException {
        KeyDigest key = digestOrKeyFile.matches("[0-9a-f]{64}")
                ? new KeyDigest(digestOrKeyFile)
                : KeyFile.digest(Path.of(digestOrKeyFile));
        return submit(current -> withdraw(current, key));
    }

    private static List<Change> withdraw(ConfigHistory current, KeyDigest key) throws RejectedException {
        boolean granted = current.inventory().organisations().values().stream()
                .anyMatch(organisation -> organisation.keys().contains(key));
        if (!granted) {
            throw new RejectedException(
                    "no organisation has key " + key.abbreviated() + " at revision " + current.revision());
        }
        return List.of(new Change.WithdrawKey(key));
    }
}
