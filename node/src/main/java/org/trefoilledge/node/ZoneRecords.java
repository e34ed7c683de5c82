package org.trefoilledge.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.authority.ZoneRecord;

/**
 * The latest known record of each availability zone: who owns which shard. It only directs requests; whether an owner
 * may act is decided by the owner.
 */
final class ZoneRecords {
    private final Map<ZoneId, ZoneRecord> records = new ConcurrentHashMap<>();
    private volatile boolean refreshWanted = true;

    /** A host that owns a shard. */
    record Owner(HostId host, String address) {}

    void learn(ZoneId zone, ZoneRecord record) {
        records.merge(zone, record, (old, found) -> found.version() > old.version() ? found : old);
    }

    long version(ZoneId zone) {
        ZoneRecord record = records.get(zone);
        return record == null ? 0 : record.version();
    }

    Optional<ZoneRecord> record(ZoneId zone) {
        return Optional.ofNullable(records.get(zone));
    }

    Map<ZoneId, ZoneRecord> all() {
        return new HashMap<>(records);
    }

    Optional<Owner> owner(ZoneId zone, int shard) {
        ZoneRecord record = records.get(zone);
        if (record == null || shard >= record.shards().size()) {
            return Optional.empty();
        }
        HostId host = record.shards().get(shard);
        return record.members().stream()
                .filter(member -> member.host().equals(host))
                .findFirst()
                .map(member -> new Owner(host, member.address()));
    }

    /** Asks for newer records soon, after an owner did not answer. */
    void refresh() {
        refreshWanted = true;
    }

    boolean takeRefresh() {
        boolean wanted = refreshWanted;
        refreshWanted = false;
        return wanted;
    }
}
