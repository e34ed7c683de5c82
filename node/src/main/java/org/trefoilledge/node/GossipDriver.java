package org.trefoilledge.node;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.membership.Gossip;
import org.trefoilledge.core.membership.GossipMessage;
import org.trefoilledge.core.membership.GossipSend;
import org.trefoilledge.wire.PeerTransport;
import org.trefoilledge.wire.generated.Acknowledgement;
import org.trefoilledge.wire.generated.Envelope;

/** Carries gossip between nodes. Runs on the control thread. */
final class GossipDriver {
    private static final long TIMEOUT_MILLIS = 1_000;

    private final Gossip gossip;
    private final PeerTransport transport;
    private final Executor control;
    private final Clock clock;
    private final Heard heard;

    /** Is told the configuration revision of a peer that sent a message. */
    @FunctionalInterface
    interface Heard {
        void revision(String peerAddress, long revision);
    }

    GossipDriver(Gossip gossip, PeerTransport transport, Executor control, Clock clock, Heard heard) {
        this.gossip = gossip;
        this.transport = transport;
        this.control = control;
        this.clock = clock;
        this.heard = heard;
    }

    void tick(RandomGenerator random) {
        gossip.tick(clock.millis(), random).forEach(this::send);
    }

    /** Takes a request of a peer and answers it. */
    void asked(GossipMessage message, Consumer<Envelope> responder) {
        boolean answered = false;
        for (GossipSend send : received(message)) {
            boolean response =
                    send.to().equals(message.from()) && send.message().exchange() == message.exchange();
            if (response && !answered) {
                responder.accept(envelope(send));
                answered = true;
            } else {
                send(send);
            }
        }
        if (!answered) {
            responder.accept(Envelope.newBuilder()
                    .setAcknowledgement(Acknowledgement.getDefaultInstance())
                    .build());
        }
    }

    private List<GossipSend> received(GossipMessage message) {
        List<GossipSend> sends = gossip.received(message.from(), message, clock.millis());
        address(message.from()).ifPresent(address -> heard.revision(address, message.configRevision()));
        return sends;
    }

    private java.util.Optional<String> address(HostId host) {
        return gossip.alive().stream()
                .filter(entry -> entry.host().equals(host))
                .map(entry -> entry.peerAddress())
                .findFirst();
    }

    private void send(GossipSend send) {
        var unused = transport
                .sendRequest(send.peerAddress(), envelope(send), TIMEOUT_MILLIS)
                .whenCompleteAsync(
                        (answer, error) -> {
                            if (error != null) {
                                gossip.failed(send.to(), clock.millis());
                            } else if (answer.hasGossip()) {
                                received(GossipMessages.gossip(answer.getGossip()))
                                        .forEach(this::send);
                            }
                        },
                        control);
    }

    private static Envelope envelope(GossipSend send) {
        return Envelope.newBuilder()
                .setGossip(GossipMessages.message(send.message()))
                .build();
    }
}
