package org.trefoilledge.node;

import java.util.Optional;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.membership.GossipMessage;
import org.trefoilledge.core.membership.MemberEntry;
import org.trefoilledge.core.membership.MemberState;
import org.trefoilledge.wire.generated.GossipExchange;

/** Converts gossip messages. */
final class GossipMessages {
    private GossipMessages() {}

    static GossipExchange message(GossipMessage gossip) {
        GossipExchange.Builder message = GossipExchange.newBuilder()
                .setFrom(gossip.from().value())
                .setTableHash(gossip.tableHash())
                .setKind(gossip.kind().number())
                .setSubject(gossip.subject())
                .setConfigRevision(gossip.configRevision())
                .setStoreAgeSeconds(gossip.storeAgeSeconds())
                .setExchange(gossip.exchange());
        gossip.entries().forEach(entry -> message.addEntries(message(entry)));
        return message.build();
    }

    static GossipMessage gossip(GossipExchange message) {
        return new GossipMessage(
                new HostId(message.getFrom()),
                message.getTableHash(),
                GossipMessage.Kind.of(message.getKind()),
                message.getSubject(),
                message.getEntriesList().stream().map(GossipMessages::entry).toList(),
                message.getConfigRevision(),
                message.getStoreAgeSeconds(),
                message.getExchange());
    }

    private static org.trefoilledge.wire.generated.MemberEntry message(MemberEntry entry) {
        return org.trefoilledge.wire.generated.MemberEntry.newBuilder()
                .setHost(entry.host().value())
                .setZone(entry.zone().value())
                .setPeerAddress(entry.peerAddress())
                .setIncarnation(entry.incarnation().value())
                .setVersion(entry.version())
                .setService(entry.service().map(ServiceId::value).orElse(""))
                .setSlots(entry.slots())
                .setState(entry.state().number())
                .setConfigRevision(entry.configRevision())
                .build();
    }

    private static MemberEntry entry(org.trefoilledge.wire.generated.MemberEntry message) {
        return new MemberEntry(
                new HostId(message.getHost()),
                new ZoneId(message.getZone()),
                message.getPeerAddress(),
                new Incarnation(message.getIncarnation()),
                message.getVersion(),
                message.getService().isEmpty() ? Optional.empty() : Optional.of(new ServiceId(message.getService())),
                message.getSlots(),
                MemberState.of(message.getState()),
                message.getConfigRevision());
    }
}
