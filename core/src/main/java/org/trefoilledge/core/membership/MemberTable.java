package org.trefoilledge.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;

/** The entries that a node knows, with a hash that does not depend on their order. */
final class MemberTable {
    /** One member; the state of the entry says whether it is suspected or dead, and since when. */
    static final class Row {
        final long hostHash;
        MemberEntry entry;
        long since;
        long heardAt = Long.MIN_VALUE;
        private long entryHash;

        Row(HostId host) {
            hostHash = textHash(host.value());
        }
    }

    private final ZoneId own;
    private final Map<HostId, Row> rows = new HashMap<>();
    private List<Row> ownZone = new ArrayList<>();
    private List<Row> otherZones = new ArrayList<>();
    private List<MemberEntry> alive = List.of();
    private boolean stale;
    private long hash;
    private long changes;

    MemberTable(ZoneId own) {
        this.own = own;
    }

    Optional<Row> row(HostId host) {
        return Optional.ofNullable(rows.get(host));
    }

    Collection<Row> rows() {
        return rows.values();
    }

    /** Stores the entry without comparing it to the previous one. */
    Row put(MemberEntry entry, long now) {
        Row row = rows.computeIfAbsent(entry.host(), Row::new);
        hash ^= row.entryHash;
        row.entry = entry;
        row.since = now;
        row.entryHash = entry.state().present() ? hash(entry) : 0;
        hash ^= row.entryHash;
        changed();
        return row;
    }

    void remove(HostId host) {
        Row row = rows.remove(host);
        if (row != null) {
            hash ^= row.entryHash;
            changed();
        }
    }

    private void changed() {
        changes++;
        stale = true;
    }

    long changes() {
        return changes;
    }

    long hash() {
        return hash;
    }

    /** Returns the hash of the present members whose host hash begins with the given bits. */
    long hash(String prefix) {
        long part = 0;
        for (Row row : rows.values()) {
            if (matches(row, prefix)) {
                part ^= row.entryHash;
            }
        }
        return part;
    }

    List<MemberEntry> part(String prefix) {
        return select(row -> matches(row, prefix));
    }

    private static boolean matches(Row row, String prefix) {
        for (int i = 0; i < prefix.length(); i++) {
            long bit = (row.hostHash >>> (Long.SIZE - 1 - i)) & 1;
            if (bit != prefix.charAt(i) - '0') {
                return false;
            }
        }
        return true;
    }

    private List<MemberEntry> select(Predicate<Row> condition) {
        return rows.values().stream().filter(condition).map(row -> row.entry).toList();
    }

    List<MemberEntry> alive() {
        refresh();
        return alive;
    }

    /** Returns the present members of the own zone, or of all other zones. */
    List<Row> present(boolean inOwnZone) {
        refresh();
        return inOwnZone ? ownZone : otherZones;
    }

    private void refresh() {
        if (!stale) {
            return;
        }
        stale = false;
        alive = select(row -> row.entry.state().present());
        ownZone = new ArrayList<>();
        otherZones = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.entry.state().present()) {
                (row.entry.zone().equals(own) ? ownZone : otherZones).add(row);
            }
        }
    }

    private static long hash(MemberEntry entry) {
        return textHash(entry.host().value()
                + ' '
                + entry.incarnation()
                + ' '
                + entry.version()
                + ' '
                + entry.state().severity());
    }

    private static long textHash(String text) {
        return Hashing.xxh3_64().hashBytesToLong(text.getBytes(StandardCharsets.UTF_8));
    }
}
