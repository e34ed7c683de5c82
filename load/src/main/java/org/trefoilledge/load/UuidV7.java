package org.trefoilledge.load;

import java.util.UUID;
import java.util.random.RandomGenerator;

/** Generates UUIDs of version 7 (RFC 9562): 48 bits of wall time in milliseconds, then random bits. */
final class UuidV7 {
    private static final long VERSION = 0x7000L;
    private static final long VARIANT = 0x8000_0000_0000_0000L;

    private UuidV7() {}

    static UUID generate(long wallMillis, RandomGenerator random) {
        long high = (wallMillis << 16) | VERSION | (random.nextLong() & 0x0fffL);
        long low = VARIANT | (random.nextLong() >>> 2);
        return new UUID(high, low);
    }
}
