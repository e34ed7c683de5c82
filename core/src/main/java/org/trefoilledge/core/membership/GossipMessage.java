package org.trefoilledge.core.membership;

import java.util.List;
import org.trefoilledge.core.HostId;

/**
 * One gossip message.
 *
 * @param tableHash hash of the sender's table, or of a part of it for {@link Kind#SYNC}
 * @param subject host of a probe, or the part of the table for a synchronisation
 * @param configRevision revision in force at the sender
 * @param storeAgeSeconds age of the latest contact with the store that the sender knows of, rounded up;
 *     {@link #NEVER} if it knows of none
 * @param exchange id of the exchange, which a response repeats
 */
public record GossipMessage(
        HostId from,
        long tableHash,
        Kind kind,
        String subject,
        List<MemberEntry> entries,
        long configRevision,
        int storeAgeSeconds,
        long exchange) {
    /** Age of a contact that never happened. */
    public static final int NEVER = Integer.MAX_VALUE;

    /** Copies the entries. */
    public GossipMessage {
        entries = List.copyOf(entries);
    }

    /** Kinds of messages. */
    public enum Kind {
        /** Starts an exchange and asks for an acknowledgement. */
        PING(0),
        /** Acknowledges a ping. */
        ACK(1),
        /** Asks the receiver to ping the subject. */
        PROBE(2),
        /** Reports that the subject acknowledged a ping. */
        PROBED(3),
        /** Compares the hash of a part of the table; the subject is a prefix of the hosts' hash bits. */
        SYNC(4),
        /** Carries all entries of a part of the table and asks for newer or missing ones. */
        PART(5),
        /** Carries entries; needs no response. */
        ENTRIES(6);

        private final int number;

        Kind(int number) {
            this.number = number;
        }

        /** Returns the number that stands for this kind in messages. */
        public int number() {
            return number;
        }

        /**
         * Returns the kind with the given number.
         *
         * @throws IllegalArgumentException if there is none
         */
        public static Kind of(int number) {
            for (Kind value : values()) {
                if (value.number == number) {
                    return value;
                }
            }
            throw new IllegalArgumentException("unknown kind of gossip message: " + number);
        }
    }
}
