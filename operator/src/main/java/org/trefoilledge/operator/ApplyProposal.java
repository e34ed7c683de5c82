package org.trefoilledge.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.trefoilledge.configstore.InventoryFile;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.InventoryDiff;
import org.trefoilledge.core.config.LogEntry;

/**
 * Proposes what a file changes against the revision that it was compared with first. When others have written since,
 * only these changes go on top: comparing the file again would undo what the others changed.
 */
final class ApplyProposal implements Proposal {
    private static final int MAX_SHOWN_ENTRIES = 20;
    private static final long UNSET = -1;

    /** How far back withdrawals are looked for; reading the log since the first revision would take too long. */
    private static final long KEY_HISTORY_REVISIONS = 1_024;

    private final InventoryFile file;
    private final boolean onTop;
    private final boolean grantAgain;
    private long base;

    ApplyProposal(InventoryFile file, Long base, boolean onTop, boolean grantAgain) {
        this.file = file;
        this.base = base == null ? UNSET : base;
        this.onTop = onTop;
        this.grantAgain = grantAgain;
    }

    @Override
    public long oldest(long head) {
        long known = base == UNSET ? head : base;
        return Math.min(known, head - KEY_HISTORY_REVISIONS);
    }

    @Override
    public List<Change> changes(ConfigHistory current) throws RejectedException {
        if (base == UNSET) {
            base = current.revision();
        }
        if (base > current.revision()) {
            throw new RejectedException(
                    "--base is " + base + ", but the store has only revision " + current.revision());
        }
        Inventory before = current.at(base);
        Inventory wanted = file.over(before);
        var fixed = InventoryDiff.forbiddenChange(current.inventory(), wanted);
        if (fixed.isPresent()) {
            throw new RejectedException(fixed.get());
        }
        List<Change> own = InventoryDiff.changes(before, wanted);
        if (base < current.revision() && !own.isEmpty()) {
            checkNotTouched(own, current);
        }
        Inventory after = current.inventory().with(own);
        checkWithdrawnKeys(current, after);
        return InventoryDiff.changes(current.inventory(), after);
    }

    private void checkWithdrawnKeys(ConfigHistory current, Inventory after) throws RejectedException {
        Set<String> again = grantAgain ? Set.of() : WithdrawnKeys.grantedAgain(current, after);
        if (!again.isEmpty()) {
            throw new RejectedException(
                    "the file grants keys that were withdrawn: " + String.join(", ", again),
                    List.of("remove their digests from the file, or grant them again with --grant-again"));
        }
    }

    private void checkNotTouched(List<Change> own, ConfigHistory current) throws RejectedException {
        List<LogEntry> between = current.after(base);
        Set<String> common = ChangeText.items(own);
        common.retainAll(ChangeText.items(
                between.stream().flatMap(entry -> entry.changes().stream()).toList()));
        if (onTop && common.isEmpty()) {
            return;
        }
        List<String> details = describe(current);
        if (common.isEmpty()) {
            details.add("none of these touch what this file changes: apply it with --on-top");
        } else {
            details.add("both change: " + String.join(", ", common));
        }
        LogEntry first = between.get(0);
        throw new RejectedException(
                "revision " + first.revision() + " was taken first by operation " + first.operation(), details);
    }

    private List<String> describe(ConfigHistory current) {
        List<String> lines = new ArrayList<>();
        List<LogEntry> between = current.after(base);
        Inventory before = current.at(base);
        for (LogEntry entry : between.subList(0, Math.min(MAX_SHOWN_ENTRIES, between.size()))) {
            for (String line : ChangeText.lines(entry.changes(), before)) {
                lines.add("revision " + entry.revision() + ": " + line);
            }
            before = before.with(entry.changes());
        }
        if (between.size() > MAX_SHOWN_ENTRIES) {
            lines.add("and " + (between.size() - MAX_SHOWN_ENTRIES) + " more revisions");
        }
        return lines;
    }
}
