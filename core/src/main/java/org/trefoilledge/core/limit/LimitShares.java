package org.trefoilledge.core.limit;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;
import org.trefoilledge.core.OrganisationId;

/**
 * Divides the limit of an organisation evenly over the zones, then evenly over some shards of each zone. All
 * zones use the same shard numbers for one organisation.
 */
public final class LimitShares {
    /** Micros in one token. */
    public static final long MICROS_PER_TOKEN = 1_000_000;

    /** Smaller amounts are neither requested nor lent, because the messages would outweigh them. */
    static final long MIN_LOAN_MICROS = 50_000;

    /** A share below this many tokens of burst would often be too small to serve a short burst by itself. */
    private static final int MIN_BURST_PER_SHARD = 25;

    private LimitShares() {}

    /** Returns how many shards of each zone hold a part of a limit with the given burst. */
    public static int shardCount(double burst, int zones, int shardsPerZone) {
        double affordable = Math.floor(burst / ((double) zones * MIN_BURST_PER_SHARD));
        return (int) Math.max(1, Math.min(affordable, shardsPerZone));
    }

    /**
     * Returns the shards of each zone that hold a part of the organisation's limit, those with the highest hash first.
     * The first {@code n} shards stay the same when the count grows.
     */
    public static int[] shards(OrganisationId organisation, int count, int shardsPerZone) {
        long[] scores = new long[shardsPerZone];
        Arrays.setAll(scores, shard -> score(organisation, shard));
        return IntStream.range(0, shardsPerZone)
                .boxed()
                .sorted(Comparator.comparingLong((Integer shard) -> scores[shard])
                        .reversed())
                .limit(count)
                .mapToInt(Integer::intValue)
                .toArray();
    }

    /** Returns one shard's part of a rate or burst, in millionths, rounded down so that the parts never exceed it. */
    public static long shareMicros(double total, int zones, int count) {
        return (long) Math.floor(total * MICROS_PER_TOKEN / ((double) zones * count));
    }

    private static long score(OrganisationId organisation, int shard) {
        return Hashing.xxh3_64().hashBytesToLong((organisation.value() + '/' + shard).getBytes(StandardCharsets.UTF_8));
    }
}
