package org.trefoilledge.core.rate;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;

/**
 * What one node at a time may claim: a part of the limits of a shard of the organisations, or the reserve of a zone. Each
 * limit has two parts with half of it each, so that the loss of one owner leaves most of what an organisation needs.
 *
 * @param name key of the claim in the store, below the prefix of all claims
 */
public record RateClaim(String name) {
    /** Shards of the organisations: enough that the loss of one owner concerns few, and few claims in the store. */
    public static final int SHARDS = 8;
    /** Parts of each limit. */
    public static final int PARTS = 2;

    private static final String SHARD_PREFIX = "shard-";
    private static final String RESERVE_PREFIX = "reserve-";

    private static final List<List<RateClaim>> PARTS_BY_SHARD = IntStream.range(0, SHARDS)
            .mapToObj(number -> List.of(shard(number, 0), shard(number, 1)))
            .toList();

    /** Returns the claims on the parts of an organisation's limit. */
    public static List<RateClaim> forOrganisation(OrganisationId organisation) {
        long hash = Hashing.xxh3_64().hashCharsToLong(organisation.value());
        return PARTS_BY_SHARD.get((int) Long.remainderUnsigned(hash, SHARDS));
    }

    /** Returns the claim on a part of a shard. */
    public static RateClaim shard(int number, int part) {
        return new RateClaim(SHARD_PREFIX + number + '-' + part);
    }

    /** Returns the claim on the reserve of a zone. */
    public static RateClaim reserve(ZoneId zone) {
        return new RateClaim(RESERVE_PREFIX + zone);
    }

    /** Reads the key of a claim; empty if it is none of this version. */
    public static Optional<RateClaim> parse(String name) {
        boolean known = name.matches(SHARD_PREFIX + "\\d+-[01]") || name.startsWith(RESERVE_PREFIX);
        return known ? Optional.of(new RateClaim(name)) : Optional.empty();
    }

    /** Returns whether this is the reserve of a zone, and no shard. */
    public boolean isReserve() {
        return name.startsWith(RESERVE_PREFIX);
    }

    /** Returns the score by which candidates for a part of a shard are ordered, the same for all parts of the shard. */
    long rendezvousScore(String candidate) {
        String shard = name.substring(0, name.length() - 1);
        return Hashing.xxh3_64().hashCharsToLong(shard + candidate);
    }

    /** Returns the number of the part of a shard. */
    int part() {
        return name.charAt(name.length() - 1) - '0';
    }

    // The generated methods of a record are slow in code that is not optimised yet, and claims are keys of many tables.
    @Override
    public boolean equals(Object other) {
        return other instanceof RateClaim that && that.name.equals(name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }
}
