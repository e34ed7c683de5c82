package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;
import picocli.CommandLine.Option;

/** A command that writes to the configuration log. */
abstract class WriteCommand extends StoreCommand {
    @Option(
            names = "--node",
            paramLabel = "HOST:PORT",
            converter = NodeAddress.Converter.class,
            description = "Operators' port of a node; repeat it for further nodes. Their configuration is compared"
                    + " with the store's before the write.")
    List<NodeAddress> nodes = List.of();

    @Option(names = "--wait", paramLabel = "SECONDS", description = "Wait until every --node reports the new revision.")
    Integer waitSeconds;

    WriteCommand(Environment environment) {
        super(environment);
    }

    final Answer submit(Proposal proposal)
            throws SettingsException, RejectedException, StoreException, InterruptedException {
        checkWait();
        NodePoll poll = new NodePoll(environment, nodes);
        try (Store store = open()) {
            ConfigWriter writer = new ConfigWriter(store, environment, timeoutMillis());
            WriteOutcome outcome = new Submission(writer, environment, poll.statuses()).submit(proposal);
            return answer(outcome, poll);
        }
    }

    private void checkWait() throws SettingsException {
        if (waitSeconds == null) {
            return;
        }
        if (nodes.isEmpty()) {
            throw new SettingsException("--wait needs at least one --node HOST:PORT to ask");
        }
        if (waitSeconds < 1 || waitSeconds > 3_600) {
            throw new SettingsException("--wait: expected 1 to 3600 seconds, but found: " + waitSeconds);
        }
    }

    private Answer answer(WriteOutcome outcome, NodePoll poll) throws InterruptedException {
        if (outcome instanceof WriteOutcome.Accepted accepted) {
            List<String> lines = new ArrayList<>();
            lines.add("accepted at revision " + accepted.revision() + " (operation " + accepted.operation() + ")");
            accepted.changes().forEach(change -> lines.add("  " + change));
            ObjectNode object = Answer.object("accepted")
                    .put("revision", accepted.revision())
                    .put("operation", accepted.operation());
            accepted.changes().forEach(object.putArray("changes")::add);
            return waited(accepted.revision(), lines, object, poll);
        } else if (outcome instanceof WriteOutcome.Unchanged unchanged) {
            String line = "nothing to change: revision " + unchanged.revision() + " has this state already";
            ObjectNode object = Answer.object("unchanged").put("revision", unchanged.revision());
            return waited(unchanged.revision(), new ArrayList<>(List.of(line)), object, poll);
        }
        return notKnown((WriteOutcome.NotKnown) outcome);
    }

    private Answer notKnown(WriteOutcome.NotKnown outcome) {
        String command = showOperation(outcome.operation());
        Answer answer = Answer.failure(
                ExitCode.NOT_KNOWN,
                "not known yet",
                "the store did not say whether it took revision " + outcome.revision(),
                List.of("find out with: " + command));
        answer.json()
                .put("revision", outcome.revision())
                .put("operation", outcome.operation())
                .put("findOut", command);
        return answer;
    }

    private Answer waited(long revision, List<String> lines, ObjectNode object, NodePoll poll)
            throws InterruptedException {
        if (waitSeconds == null) {
            return new Answer(ExitCode.DONE, lines, object);
        }
        List<NodeAddress> behind = poll.await(revision, waitSeconds * 1_000L);
        object.put("inForceOnAllNodes", behind.isEmpty());
        if (behind.isEmpty()) {
            lines.add("in force on all nodes asked (" + nodes.size() + ")");
            return new Answer(ExitCode.DONE, lines, object);
        }
        behind.forEach(node -> object.withArray("behind").add(node.toString()));
        lines.add("not known yet: after " + waitSeconds + " s these nodes have not reported revision " + revision + ": "
                + behind);
        lines.add("  find out with: trefoilledge status" + poll.options(behind));
        return new Answer(ExitCode.NOT_KNOWN, lines, object);
    }
}
