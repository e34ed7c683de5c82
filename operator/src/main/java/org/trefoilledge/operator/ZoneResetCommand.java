package org.trefoilledge.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.configstore.StoredValue;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.config.ConfigCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "reset",
        description =
                "Empty the panel of a zone whose majority is lost for good, so that running nodes form a new one.",
        footer = {
            "",
            "Without --panel-stopped it only lists the panel. A member that still runs may act on shards that",
            "the new panel takes over, so that a request could run twice: stop all of them first."
        })
final class ZoneResetCommand extends StoreCommand {
    @Parameters(paramLabel = "ZONE", description = "Id of the availability zone.")
    String zone;

    @Option(names = "--panel-stopped", description = "State that all hosts of the old panel are stopped.")
    boolean panelStopped;

    ZoneResetCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws SettingsException, RejectedException, StoreException, InterruptedException {
        ZoneId id = Ids.zone(zone);
        try (Store store = open()) {
            String key = "zones/" + id;
            Optional<StoredValue> found = store.read(key);
            if (found.isEmpty()) {
                throw new RejectedException("the store has no record of zone " + id);
            }
            ObjectNode record = parse(found.get());
            if (!panelStopped) {
                throw new RejectedException(
                        "the reset needs --panel-stopped, after these hosts of the panel are stopped", members(record));
            }
            return write(store, found.get(), record);
        }
    }

    private static ObjectNode parse(StoredValue value) throws RejectedException {
        try {
            if (ConfigCodec.json().readTree(value.value()) instanceof ObjectNode record) {
                return record;
            }
        } catch (JsonProcessingException e) {
            throw new RejectedException("the record " + value.key() + " is not JSON: " + e.getOriginalMessage());
        }
        throw new RejectedException("the record " + value.key() + " is not a JSON object");
    }

    private static List<String> members(ObjectNode record) {
        List<String> members = new ArrayList<>();
        for (JsonNode member : record.path("members")) {
            members.add(member.path("host").asText() + " at "
                    + member.path("address").asText() + ", "
                    + member.path("state").asText().toLowerCase(Locale.ROOT));
        }
        return members;
    }

    /** Empties the members and keeps the version growing, so that no older record can come back into force. */
    private Answer write(Store store, StoredValue old, ObjectNode record)
            throws StoreException, RejectedException, InterruptedException {
        long version = record.path("version").asLong() + 1;
        String operation = "reset-" + environment.operationIds().get();
        ObjectNode empty = record.deepCopy().put("version", version).put("operation", operation);
        empty.putArray("members");
        empty.putArray("shards");
        if (empty.has("settled")) {
            empty.put("settled", true);
        }
        CertainWrite write = new CertainWrite(store, environment, timeoutMillis());
        CertainWrite.Result result = write.write(old.key(), old.modRevision(), empty.toString());
        if (result == CertainWrite.Result.WRITTEN) {
            ObjectNode object =
                    Answer.object("accepted").put("version", version).put("operation", operation);
            return new Answer(ExitCode.DONE, List.of("zone " + zone + " was reset at version " + version), object);
        }
        if (result == CertainWrite.Result.LOST && !write.mayHaveTakenEffect()) {
            throw new RejectedException("the record of zone " + zone + " was changed at the same time; look again");
        }
        return notKnown(version);
    }

    /** A record that a new panel has changed again does not tell whether the reset was written before. */
    private Answer notKnown(long version) {
        return Answer.failure(
                ExitCode.NOT_KNOWN,
                "not known yet",
                "the store did not say whether it took version " + version,
                List.of("list the present panel with: trefoilledge zone reset " + zone + " --store "
                        + String.join(" --store ", endpoints)));
    }
}
