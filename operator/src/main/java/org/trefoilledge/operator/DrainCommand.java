package org.trefoilledge.operator;

import java.util.List;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.config.Change;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "drain",
        description = "Stop sending new work to the upstream of a host. Running requests finish; the host stays"
                + " drained until --undo.")
final class DrainCommand extends WriteCommand {
    @Parameters(
            paramLabel = "HOST",
            description = "Id of the host, as in its node's settings. With --node it must be known there.")
    String host;

    @Option(names = "--undo", description = "End the draining.")
    boolean undo;

    DrainCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws SettingsException, RejectedException, StoreException, InterruptedException {
        HostId id = Ids.host(host);
        if (!undo) {
            checkKnown(new NodePoll(environment, nodes).statuses());
        }
        return submit(current -> drain(current, id));
    }

    /** The inventory lists no hosts, so a mistyped id would be accepted and drain nothing. */
    private void checkKnown(List<NodeStatus> statuses) throws RejectedException {
        if (!statuses.isEmpty() && statuses.stream().noneMatch(status -> status.knows(host))) {
            throw new RejectedException(
                    "none of the nodes knows host " + host, List.of("to drain it anyway, leave out --node"));
        }
    }

    private List<Change> drain(ConfigHistory current, HostId id) {
        boolean drained = current.inventory().drainedHosts().contains(id);
        if (drained == !undo) {
            return List.of();
        }
        return List.of(undo ? new Change.UndrainHost(id) : new Change.DrainHost(id));
    }
}
