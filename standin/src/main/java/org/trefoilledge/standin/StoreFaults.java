package org.trefoilledge.standin;

import java.util.List;

/**
 * Faults that the stand-in store shows.
 *
 * @param down whether every call ends with a closed connection and no response, without any effect
 * @param delayMillis additional delay before a call takes effect
 * @param loseWriteAnswers probability that a write takes effect and its response is lost
 * @param dropWatchEvents probability that a watch misses an event
 * @param blockedClients names whose calls are treated as if the store were down, compared with each name that the
 *     header Trefoilledge-Client lists
 */
public record StoreFaults(
        boolean down, long delayMillis, double loseWriteAnswers, double dropWatchEvents, List<String> blockedClients) {
    /** No faults. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, 0, 0, List.of());

    /** Checks the ranges. */
    public StoreFaults {
        blockedClients = blockedClients == null ? List.of() : List.copyOf(blockedClients);
        Checks.requireNonNegative("delayMillis", delayMillis);
        Checks.requireProbability("loseWriteAnswers", loseWriteAnswers);
        Checks.requireProbability("dropWatchEvents", dropWatchEvents);
    }

    /** Returns a copy in which the store is down or up. */
    public StoreFaults withDown(boolean value) {
        return new StoreFaults(value, delayMillis, loseWriteAnswers, dropWatchEvents, blockedClients);
    }

    /** Returns a copy with another delay. */
    public StoreFaults withDelayMillis(long value) {
        return new StoreFaults(down, value, loseWriteAnswers, dropWatchEvents, blockedClients);
    }

    /** Returns a copy with another probability of lost responses to writes. */
    public StoreFaults withLoseWriteAnswers(double value) {
        return new StoreFaults(down, delayMillis, value, dropWatchEvents, blockedClients);
    }

    /** Returns a copy with another probability of missed watch events. */
    public StoreFaults withDropWatchEvents(double value) {
        return new StoreFaults(down, delayMillis, loseWriteAnswers, value, blockedClients);
    }

    /** Returns a copy in which the given clients get no response. */
    public StoreFaults withBlockedClients(List<String> value) {
        return new StoreFaults(down, delayMillis, loseWriteAnswers, dropWatchEvents, value);
    }

    boolean blocks(String clientHeader) {
        if (down) {
            return true;
        }
        if (clientHeader == null || blockedClients.isEmpty()) {
            return false;
        }
        return List.of(clientHeader.split(",", -1)).stream().anyMatch(blockedClients::contains);
    }
}
