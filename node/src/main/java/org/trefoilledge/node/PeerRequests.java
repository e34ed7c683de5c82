package org.trefoilledge.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.wire.PeerHandler;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.generated.Acknowledgement;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Envelope;
import org.trefoilledge.wire.generated.RecordAnswer;
import org.trefoilledge.wire.generated.RecordPull;

/** Hands the requests of other nodes to the part that serves them. Calls stay on the network thread. */
final class PeerRequests implements PeerHandler {
    private static final Logger LOG = LoggerFactory.getLogger(PeerRequests.class);

    private final Supplier<Snapshot> snapshots;
    private final Executor control;
    private final Clock clock;
    private final Map<String, Runnable> running = new ConcurrentHashMap<>();
    private GuardService guard;
    private Arbiter arbiter;
    private ZoneRecords records;
    private GossipDriver gossip;
    private ConfigFollower config;
    private LoanDriver loans;
    private AuthorityDriver authority;

    PeerRequests(Supplier<Snapshot> snapshots, Executor control, Clock clock) {
        this.snapshots = snapshots;
        this.control = control;
        this.clock = clock;
    }

    /** Connects the parts, which need the transport and therefore come later than this handler. */
    void connect(
            GuardService guardService,
            Arbiter idArbiter,
            ZoneRecords zoneRecords,
            GossipDriver gossipDriver,
            ConfigFollower configFollower,
            LoanDriver loanDriver,
            AuthorityDriver authorityDriver) {
        guard = guardService;
        arbiter = idArbiter;
        records = zoneRecords;
        gossip = gossipDriver;
        config = configFollower;
        loans = loanDriver;
        authority = authorityDriver;
    }

    @Override
    public void handle(PeerIdentity from, Envelope request, Consumer<Envelope> responder) {
        if (authority == null) {
            return;
        }
        if (request.hasCall()) {
            call(from, request, responder);
        } else if (request.hasRecordPull()) {
            responder.accept(record(request.getRecordPull()));
        } else {
            control.execute(() -> control(from, request, responder));
        }
    }

    @Override
    public void onCancelled(PeerIdentity from, long stream) {
        Runnable cancel = running.remove(key(from, stream));
        if (cancel != null) {
            cancel.run();
        }
    }

    private void control(PeerIdentity from, Envelope request, Consumer<Envelope> responder) {
        try {
            switch (request.getMessageCase()) {
                case GOSSIP -> gossip.asked(GossipMessages.gossip(request.getGossip()), responder);
                case CONFIG_PULL ->
                    responder.accept(Envelope.newBuilder()
                            .setConfigEntries(config.pulled(request.getConfigPull()))
                            .build());
                case CONFIG_ENTRIES -> {
                    responder.accept(acknowledgement());
                    config.received(request.getConfigEntries());
                }
                case LOAN_REQUEST ->
                    responder.accept(Envelope.newBuilder()
                            .setLoanAnswer(loans.lend(request.getLoanRequest()))
                            .build());
                case PROMISE_REQUEST, ADOPT_REQUEST -> authority.asked(from.host(), request, responder);
                case HAND_OVER -> {
                    authority.handedOver(request.getHandOver());
                    responder.accept(acknowledgement());
                }
                default -> LOG.warn("peer: {} sent an unexpected {}.", from, request.getMessageCase());
            }
        } catch (IllegalArgumentException e) {
            LOG.warn("peer: {} sent an invalid {}: {}.", from, request.getMessageCase(), e.getMessage());
        }
    }

    private void call(PeerIdentity from, Envelope request, Consumer<Envelope> responder) {
        Call call = request.getCall();
        if (call.getClaim()) {
            claim(call, responder);
            return;
        }
        String key = key(from, request.getStream());
        GuardService.Offered offered = guard.offer(call);
        running.put(key, offered.cancel());
        var unused = offered.answer().whenComplete((answer, error) -> {
            running.remove(key);
            if (error == null) {
                responder.accept(Envelope.newBuilder().setCallAnswer(answer).build());
            }
        });
    }

    private void claim(Call call, Consumer<Envelope> responder) {
        Snapshot snapshot = snapshots.get();
        Exchange exchange = CallMessages.exchange(call, snapshot, clock.millis());
        var route = snapshot.routes().find(call.getMethod(), exchange.path());
        if (route.isEmpty()
                || exchange.requestId().isEmpty()
                || !route.get().id().value().equals(call.getRoute())) {
            respond(
                    responder,
                    Answer.refused(ErrorKind.ARBITER_UNAVAILABLE, 500, "the arbiter has another configuration"));
            return;
        }
        if (!CallMessages.stillGranted(call, snapshot)) {
            respond(responder, Answer.refused(ErrorKind.KEY_UNKNOWN, "the key was withdrawn"));
            return;
        }
        exchange.route(route.get());
        var unused = arbiter.claim(exchange, call.getShard()).whenComplete((answer, error) -> {
            if (error != null) {
                LOG.error("arbiter: request {} failed.", exchange.id(), error);
            }
            respond(
                    responder,
                    error == null ? answer : Answer.refused(ErrorKind.OUTCOME_UNKNOWN, "the arbiter failed"));
        });
    }

    private static void respond(Consumer<Envelope> responder, Answer answer) {
        CallAnswer message = CallMessages.answer(answer).build();
        responder.accept(Envelope.newBuilder().setCallAnswer(message).build());
    }

    private Envelope record(RecordPull pull) {
        RecordAnswer.Builder answer = RecordAnswer.newBuilder();
        records.record(new ZoneId(pull.getZone()))
                .filter(record -> record.version() > pull.getVersion())
                .ifPresent(record -> answer.setRecord(AuthorityMessages.encode(record)));
        return Envelope.newBuilder().setRecordAnswer(answer).build();
    }

    private static Envelope acknowledgement() {
        return Envelope.newBuilder()
                .setAcknowledgement(Acknowledgement.getDefaultInstance())
                .build();
    }

    private static String key(PeerIdentity from, long stream) {
        return from.host() + "/" + from.incarnation() + "/" + stream;
    }
}
