package org.trefoilledge.core.rate;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;

/**
 * A claim that one node at a time can hold: ownership of a part of the limits of one shard of organisations, or of the
 * reserve of a zone. Each limit is split into two equal parts, so that an organisation keeps most of the tokens that it
 * needs when one owner is lost.
 *
 * @param name key of the claim in the store, without the common prefix of claims
 */
public record RateClaim(String name) {
    /**
     * Shards of organisations. More shards reduce the organisations affected by the loss of an owner, but add claims.
     */
    public static final int SHARDS = 8;
    /** Number of parts of each limit. */
    public static final int PARTS = 2;

    private static final String SHARD_PREFIX = "shard-";
    private static final String RESERVE_PREFIX = "reserve-";

    private static final List<List<RateClaim>> PARTS_BY_SHARD = IntStream.range(0, SHARDS)
            .mapToObj(number -> List.of(shard(number, 0), shard(number, 1)))
            .toList();

    /** Returns the claims for the parts of an organisation's limit. */
    public static List<RateClaim> forOrganisation(OrganisationId organisation) {
        long hash = Hashing.xxh3_64().hashCharsToLong(organisation.value());
        return PARTS_BY_SHARD.get((int) Long.remainderUnsigned(hash, SHARDS));
    }

    /** Returns the claim for a part of a shard. */
    public static RateClaim shard(int number, int part) {
        return new RateClaim(SHARD_PREFIX + number + '-' + part);
    }

    /** Returns the claim for the reserve of a zone. */
    public static RateClaim reserve(ZoneId zone) {
        return new RateClaim(RESERVE_PREFIX + zone);
    }

    /** Parses the key of a claim; empty if this version does not support the key. */
    public static Optional<RateClaim> parse(String name) {
        boolean supported = name.matches(SHARD_PREFIX + "\\d+-[01]") || name.startsWith(RESERVE_PREFIX);
        return supported ? Optional.of(new RateClaim(name)) : Optional.empty();
    }

    /** Returns whether this is the claim for the reserve of a zone. */
    public boolean isReserve() {
        return name.startsWith(RESERVE_PREFIX);
    }

    /** Returns the rendezvous hash of a candidate for a shard, the same for all parts of the shard. */
    long rendezvousScore(String candidate) {
        String shard = name.substring(0, name.length() - 1);
        return Hashing.xxh3_64().hashCharsToLong(shard + candidate);
    }

    /** Returns the number of the part of a shard. */
    int part() {
        return name.charAt(name.length() - 1) - '0';
    }

    // The generated methods of records are slow before JIT compilation, and claims are keys of many maps.
    @Override
    public boolean equals(Object other) {
        return other instanceof RateClaim that && that.name.equals(name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }
}
