package org.trefoilledge.core.authority;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.config.ConfigCodec;

/**
 * The record of an availability zone in the store: its panel and the owner of each shard.
 *
 * @param version grows by one with each change
 * @param shards the owner of each shard; every owner is a member
 * @param operation id of the change that wrote this version, by which its writer detects whether it took effect
 */
public record ZoneRecord(long version, List<Member> members, List<HostId> shards, String operation) {
    /** Maximum number of panel members. */
    public static final int MAX_MEMBERS = 7;

    /**
     * Smallest panel whose members extend their authority by promises. Smaller panels have no useful majority, and
     * their removals need the votes of all other members.
     */
    public static final int MIN_MEMBERS_FOR_PROMISES = 3;

    private static final ObjectMapper JSON = ConfigCodec.json().copy().registerModule(incarnations());

    /** Checks that each host has one seat and that every owner is a member. */
    public ZoneRecord {
        members = List.copyOf(members);
        shards = List.copyOf(shards);
        Set<HostId> hosts = new HashSet<>();
        for (Member member : members) {
            if (!hosts.add(member.host())) {
                throw new IllegalArgumentException("host " + member.host() + " has two seats in the zone record");
            }
        }
        if (!hosts.containsAll(shards)) {
            throw new IllegalArgumentException("a shard of the zone record belongs to a host that is no member");
        }
    }

    /** Returns the key of a zone's record in the store. */
    public static String key(ZoneId zone) {
        return "zones/" + zone.value();
    }

    /** Returns the record as JSON. */
    public String encode() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a zone record can always be encoded", e);
        }
    }

    /**
     * Returns the record that the JSON describes.
     *
     * @throws IllegalArgumentException if the text is not a valid record
     */
    public static ZoneRecord decode(String json) {
        try {
            return JSON.readValue(json, ZoneRecord.class);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot decode a zone record: " + e.getMessage(), e);
        }
    }

    static ZoneRecord initial(Member first, int shards, String operation) {
        return new ZoneRecord(1, List.of(first), Collections.nCopies(shards, first.host()), operation);
    }

    /** Returns the member with the seat of a host. */
    public Optional<Member> member(HostId host) {
        return members.stream().filter(member -> member.host().equals(host)).findFirst();
    }

    boolean active(HostId host, Incarnation incarnation) {
        return member(host)
                .filter(member -> member.active() && member.incarnation().equals(incarnation))
                .isPresent();
    }

    Set<Integer> shardsOf(HostId host) {
        Set<Integer> owned = new HashSet<>();
        for (int shard = 0; shard < shards.size(); shard++) {
            if (shards.get(shard).equals(host)) {
                owned.add(shard);
            }
        }
        return owned;
    }

    int majority() {
        return members.size() / 2 + 1;
    }

    boolean hasPromises() {
        return members.size() >= MIN_MEMBERS_FOR_PROMISES;
    }

    /** Returns the number of votes that must adopt a version before a change of the panel may follow it. */
    int votesToSettle() {
        return hasPromises() ? majority() : 0;
    }

    /** Returns the number of votes that a removal needs from the other members. */
    int votesToRemove() {
        return Math.min(majority(), members.size() - 1);
    }

    ZoneRecord withMember(HostId host, Incarnation incarnation, String address, String next) {
        List<Member> list = new ArrayList<>(members);
        list.add(new Member(host, incarnation, address, Member.State.ACTIVE, version + 1));
        return new ZoneRecord(version + 1, list, shards, next);
    }

    ZoneRecord withState(HostId host, Member.State state, String next) {
        return withChangedMember(host, member -> member.with(state, version + 1), next);
    }

    /** Replaces the earlier run of a host by a later one. The earlier run must have gone through removal. */
    ZoneRecord withReplacement(HostId host, Incarnation incarnation, String address, String next) {
        return withChangedMember(
                host, member -> new Member(host, incarnation, address, Member.State.ACTIVE, version + 1), next);
    }

    private ZoneRecord withChangedMember(HostId host, UnaryOperator<Member> change, String next) {
        List<Member> list = members.stream()
                .map(member -> member.host().equals(host) ? change.apply(member) : member)
                .toList();
        return new ZoneRecord(version + 1, list, shards, next);
    }

    ZoneRecord withTransfers(Map<Integer, HostId> moves, String next) {
        return new ZoneRecord(version + 1, members, shardsAfter(moves), next);
    }

    /** Returns a record without the member, its shards spread evenly over the recipients. */
    ZoneRecord withoutMember(HostId host, List<HostId> recipients, String next) {
        List<Member> rest =
                members.stream().filter(member -> !member.host().equals(host)).toList();
        return new ZoneRecord(version + 1, rest, shardsAfter(spread(shardsOf(host), recipients)), next);
    }

    private List<HostId> shardsAfter(Map<Integer, HostId> moves) {
        List<HostId> next = new ArrayList<>(shards);
        moves.forEach(next::set);
        return next;
    }

    /** Assigns each shard to the recipient with the fewest shards at that point. */
    Map<Integer, HostId> spread(Set<Integer> from, List<HostId> recipients) {
        Map<Integer, HostId> moves = new TreeMap<>();
        from.stream().sorted().forEach(shard -> moves.put(shard, leastLoaded(recipients, moves)));
        return moves;
    }

    private HostId leastLoaded(List<HostId> recipients, Map<Integer, HostId> moves) {
        return recipients.stream()
                .min(Comparator.<HostId>comparingLong(recipient -> load(recipient, moves))
                        .thenComparing(recipient -> recipient))
                .orElseThrow();
    }

    private long load(HostId host, Map<Integer, HostId> moves) {
        long kept = shardsOf(host).stream().filter(s -> !moves.containsKey(s)).count();
        return kept + moves.values().stream().filter(host::equals).count();
    }

    /** Returns the transfers that reduce an owner to its even share, given the members that can take shards. */
    Map<Integer, HostId> rebalancingMoves(HostId owner, List<HostId> takers) {
        Map<Integer, HostId> moves = new TreeMap<>();
        for (int shard : shardsOf(owner).stream().sorted().toList()) {
            HostId taker = takers.isEmpty() ? owner : leastLoaded(takers, moves);
            if (load(owner, moves) - load(taker, moves) < 2) {
                break;
            }
            moves.put(shard, taker);
        }
        return moves;
    }

    private static SimpleModule incarnations() {
        SimpleModule module = new SimpleModule("trefoilledge-incarnation");
        module.addSerializer(Incarnation.class, new StdSerializer<>(Incarnation.class) {
            @Override
            public void serialize(Incarnation value, JsonGenerator out, SerializerProvider provider)
                    throws IOException {
                out.writeNumber(value.value());
            }
        });
        module.addDeserializer(Incarnation.class, new StdDeserializer<>(Incarnation.class) {
            @Override
            public Incarnation deserialize(JsonParser in, DeserializationContext context) throws IOException {
                return new Incarnation(in.getLongValue());
            }
        });
        return module;
    }
}
