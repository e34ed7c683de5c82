package org.trefoilledge.operator;

import java.util.List;
import org.trefoilledge.configstore.AppendResult;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.InventoryDiff;
import org.trefoilledge.core.config.LogEntry;

/** Writes the changes of a proposal as the next revision, and asks it again when another writer was first. */
final class Submission {
    /** Values of the store may have 1 MB. */
    static final int MAX_ENTRY_BYTES = 1_000_000;

    /** Each lost race means that another writer succeeded; more than this in a row needs an operator's attention. */
    private static final int MAX_ATTEMPTS = 20;

    private final ConfigWriter writer;
    private final Environment environment;
    private final List<NodeStatus> seen;

    /** Creates a submission; {@code seen} are statuses of nodes read before, none of which may be ahead of the store. */
    Submission(ConfigWriter writer, Environment environment, List<NodeStatus> seen) {
        this.writer = writer;
        this.environment = environment;
        this.seen = List.copyOf(seen);
    }

    WriteOutcome submit(Proposal proposal) throws StoreException, RejectedException, InterruptedException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ConfigHistory history = writer.read(proposal::oldest);
            for (NodeStatus status : seen) {
                status.checkAgainst(history);
            }
            List<Change> changes = proposal.changes(history);
            if (changes.isEmpty()) {
                return new WriteOutcome.Unchanged(history.revision());
            }
            Inventory after = history.inventory().with(changes);
            check(history.inventory(), after);
            LogEntry entry = entry(history, changes);
            announce(entry);
            AppendResult result = writer.append(entry);
            if (result instanceof AppendResult.Accepted) {
                writer.snapshot(entry, after);
                return new WriteOutcome.Accepted(
                        entry.revision(), entry.operation(), ChangeText.lines(changes, history.inventory()));
            } else if (result instanceof AppendResult.Unknown) {
                return new WriteOutcome.NotKnown(entry.revision(), entry.operation());
            }
        }
        throw new RejectedException("other writers took " + MAX_ATTEMPTS + " revisions in a row first");
    }

    /** Names the operation before the write, so that the outcome can be looked up if the command is killed. */
    private void announce(LogEntry entry) {
        environment.err().println("writing revision " + entry.revision() + " as operation " + entry.operation());
        environment.err().flush();
    }

    private static void check(Inventory before, Inventory after) throws RejectedException {
        var fixed = InventoryDiff.forbiddenChange(before, after);
        if (fixed.isPresent()) {
            throw new RejectedException(fixed.get());
        }
        List<String> problems = after.problems();
        if (!problems.isEmpty()) {
            throw new RejectedException("the result would not be a valid inventory", problems);
        }
    }

    /** The operation id starts with the revision, so that a later look-up knows which entry decides about it. */
    private LogEntry entry(ConfigHistory history, List<Change> changes) throws RejectedException {
        long revision = history.revision() + 1;
        String operation = revision + "-" + environment.operationIds().get();
        LogEntry entry = new LogEntry(
                revision, operation, history.digest(history.revision()).orElseThrow(), changes);
        int bytes = ConfigCodec.encode(entry).length;
        if (bytes > MAX_ENTRY_BYTES) {
            throw new RejectedException("the changes need " + bytes + " bytes, but an entry of the store has at most "
                    + MAX_ENTRY_BYTES + ": apply them in several steps");
        }
        return entry;
    }
}
