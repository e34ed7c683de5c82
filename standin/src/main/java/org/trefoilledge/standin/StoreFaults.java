package org.trefoilledge.standin;

import java.util.List;

/**
 * Faults that the stand-in store injects.
 *
 * @param down whether the connection of every call is closed without a response and the call has no effect
 * @param delayMillis additional delay before a call takes effect, in milliseconds
 * @param loseWriteAnswers probability that a write takes effect and its response is lost
 * @param dropWatchEvents probability that an event is not sent to a watch
 * @param blockedClients client names for which the store behaves as if it were down; matched against each of the
 *     comma-separated names in the header Trefoilledge-Client
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

    /** Returns a copy with the given additional delay. */
    public StoreFaults withDelayMillis(long value) {
        return new StoreFaults(down, value, loseWriteAnswers, dropWatchEvents, blockedClients);
    }

    /** Returns a copy with the given probability of lost write responses. */
    public StoreFaults withLoseWriteAnswers(double value) {
        return new StoreFaults(down, delayMillis, value, dropWatchEvents, blockedClients);
    }

    /** Returns a copy with the given probability of dropped watch events. */
    public StoreFaults withDropWatchEvents(double value) {
        return new StoreFaults(down, delayMillis, loseWriteAnswers, value, blockedClients);
    }

    /** Returns a copy that blocks the given clients. */
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
