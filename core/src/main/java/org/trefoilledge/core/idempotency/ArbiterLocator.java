package org.trefoilledge.core.idempotency;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.trefoilledge.core.RequestId;
import org.trefoilledge.core.ZoneId;

/**
 * Computes the home zone and the shard of an id, which determine its arbiter. All nodes must compute the same result.
 */
public final class ArbiterLocator {
    private static final char PREFIX_SEPARATOR = '~';
    private static final int UUID_LENGTH = 36;
    private static final int UUID_VERSION_7 = 7;
    private static final int UUID_VARIANT = 2;
    private static final int UUID_TIME_SHIFT = 16;

    private ArbiterLocator() {}

    /**
     * Returns the home zone of an id: the configured zone that its key names as a prefix, else one chosen by hash.
     *
     * @throws IllegalArgumentException if there is no zone
     */
    public static ZoneId zone(RequestId id, List<ZoneId> zones) {
        if (zones.isEmpty()) {
            throw new IllegalArgumentException("the home of an id needs at least one zone");
        }
        return zoneFromPrefix(id.key(), zones).orElseGet(() -> zoneByHash(id, zones));
    }

    /** Returns the shard of an id within its home zone. */
    public static int shard(RequestId id, int shardsPerZone) {
        return (int) Integer.remainderUnsigned((int) hash(id), shardsPerZone);
    }

    /** Returns the wall-clock milliseconds in a key that is a UUIDv7, with or without a zone prefix. */
    static OptionalLong creationMillis(String key) {
        String text = key.substring(key.indexOf(PREFIX_SEPARATOR) + 1);
        if (text.length() != UUID_LENGTH) {
            return OptionalLong.empty();
        }
        try {
            UUID uuid = UUID.fromString(text);
            boolean timed = uuid.version() == UUID_VERSION_7 && uuid.variant() == UUID_VARIANT;
            return timed ? OptionalLong.of(uuid.getMostSignificantBits() >>> UUID_TIME_SHIFT) : OptionalLong.empty();
        } catch (IllegalArgumentException e) {
            return OptionalLong.empty();
        }
    }

    private static Optional<ZoneId> zoneFromPrefix(String key, List<ZoneId> zones) {
        int end = key.indexOf(PREFIX_SEPARATOR);
        if (end <= 0) {
            return Optional.empty();
        }
        String name = key.substring(0, end);
        return zones.stream().filter(zone -> zone.value().equals(name)).findFirst();
    }

    private static ZoneId zoneByHash(RequestId id, List<ZoneId> zones) {
        int index = Integer.remainderUnsigned((int) (hash(id) >>> Integer.SIZE), zones.size());
        return zones.stream().sorted().skip(index).findFirst().orElseThrow();
    }

    private static long hash(RequestId id) {
        // Neither part contains a space, so the text is unambiguous.
        String text = id.organisation().value() + ' ' + id.key();
        return Hashing.xxh3_64().hashBytesToLong(text.getBytes(StandardCharsets.US_ASCII));
    }
}
