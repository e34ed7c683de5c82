package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.KeyDigest;
import org.trefoilledge.core.config.Organisation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "grant",
        description = "Grant an organisation a new random key, which is printed once; only its digest is stored.")
final class GrantCommand extends WriteCommand {
    @Parameters(paramLabel = "ORGANISATION", description = "Id of the organisation.")
    String organisation;

    @Option(names = "--key-file", paramLabel = "FILE", description = "Grant the key in this file instead of a new one.")
    Path keyFile;

    GrantCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws SettingsException, RejectedException, StoreException, InterruptedException {
        OrganisationId id = Ids.organisation(organisation);
        if (keyFile != null) {
            KeyDigest digest = KeyFile.digest(keyFile);
            return submit(current -> grant(current, id, digest));
        }
        String key = environment.keys().get();
        Answer answer = submit(current -> grant(current, id, KeyDigest.of(key)));
        return withKey(answer, key);
    }

    /** The key is printed as well when the outcome is not known, because the grant may be in force. */
    private static Answer withKey(Answer answer, String key) {
        List<String> lines = new ArrayList<>(answer.lines());
        lines.add("key, shown only this once: " + key);
        ObjectNode object = answer.json().deepCopy().put("key", key);
        object.put("digest", KeyDigest.of(key).hex());
        return new Answer(answer.exitCode(), answer.toError(), lines, object);
    }

    private static List<Change> grant(ConfigHistory current, OrganisationId id, KeyDigest key)
            throws RejectedException {
        if (!current.inventory().organisations().containsKey(id)) {
            throw new RejectedException("revision " + current.revision() + " has no organisation " + id);
        }
        for (Organisation owner : current.inventory().organisations().values()) {
            if (owner.keys().contains(key) && owner.id().equals(id)) {
                return List.of();
            }
            if (owner.keys().contains(key)) {
                throw new RejectedException(
                        "key " + key.abbreviated() + " is granted to organisation " + owner.id() + " already");
            }
        }
        return List.of(new Change.GrantKey(id, key));
    }
}
