package org.trefoilledge.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.configstore.StoreUnavailableException;
import org.trefoilledge.configstore.StoredValue;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.authority.Authority;
import org.trefoilledge.core.authority.AuthorityAction;
import org.trefoilledge.core.authority.AuthorityEvent;
import org.trefoilledge.core.authority.ZoneRecord;
import org.trefoilledge.core.idempotency.ArbiterTable;
import org.trefoilledge.core.idempotency.ShardTable;
import org.trefoilledge.wire.PeerTransport;
import org.trefoilledge.wire.generated.Envelope;

/**
 * Performs what the authority protocol asks for. Events and ticks run on the control thread; {@link #mayAct} may be
 * called by any thread.
 */
final class AuthorityDriver {
    private static final Logger LOG = LoggerFactory.getLogger(AuthorityDriver.class);
    private static final long PEER_TIMEOUT_MILLIS = 1_000;
    private static final int HAND_OVER_PART_BYTES = 512 * 1024;

    private final ZoneId zone;
    private final Authority authority;
    private final ArbiterTable table;
    private final ZoneRecords records;
    private final StoreWorker store;
    private final PeerTransport transport;
    private final Executor control;
    private final Clock clock;
    private final LongSupplier wallClock;
    private final Object lock = new Object();
    private final Map<Long, Consumer<Envelope>> responders = new HashMap<>();
    private final Map<Integer, List<ShardTable>> received = new HashMap<>();
    private long requests;

    AuthorityDriver(
            ZoneId zone,
            Authority authority,
            ArbiterTable table,
            ZoneRecords records,
            StoreWorker store,
            PeerTransport transport,
            Executor control,
            Clock clock,
            LongSupplier wallClock) {
        this.zone = zone;
        this.authority = authority;
        this.table = table;
        this.records = records;
        this.store = store;
        this.transport = transport;
        this.control = control;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** Returns whether this node may act for a shard at this moment. Reads the clock under the lock. */
    boolean mayAct(int shard) {
        synchronized (lock) {
            return authority.mayAct(shard, clock.millis());
        }
    }

    Set<Integer> shards() {
        synchronized (lock) {
            return authority.shards(clock.millis());
        }
    }

    /** Returns whether this node has left the panel. */
    boolean left() {
        synchronized (lock) {
            return authority.hasLeft();
        }
    }

    void tick(RandomGenerator random) {
        List<AuthorityAction> actions;
        synchronized (lock) {
            actions = authority.tick(clock.millis(), random);
        }
        perform(actions);
    }

    void leave() {
        List<AuthorityAction> actions;
        synchronized (lock) {
            actions = authority.leave(clock.millis());
        }
        perform(actions);
    }

    void on(AuthorityEvent event) {
        List<AuthorityAction> actions;
        synchronized (lock) {
            actions = authority.handle(event, clock.millis());
        }
        perform(actions);
    }

    /** Takes a request of a panel member. */
    void asked(HostId from, Envelope request, Consumer<Envelope> responder) {
        long id = ++requests;
        responders.put(id, responder);
        if (request.hasPromiseRequest()) {
            on(new AuthorityEvent.PromiseAsked(from, id, AuthorityMessages.request(request.getPromiseRequest())));
        } else {
            on(new AuthorityEvent.AdoptAsked(from, id, AuthorityMessages.request(request.getAdoptRequest())));
        }
        responders.remove(id);
    }

    /** Takes a part of the table of a shard from its previous owner. */
    void handedOver(org.trefoilledge.wire.generated.HandOver message) {
        ShardTable part = AuthorityMessages.table(message);
        List<ShardTable> parts = received.computeIfAbsent(part.shard(), s -> new ArrayList<>());
        parts.add(part);
        if (part.last()) {
            on(new AuthorityEvent.HandOverReceived(part.shard(), message.getVersion()));
        }
    }

    private void perform(List<AuthorityAction> actions) {
        actions.forEach(this::perform);
        synchronized (lock) {
            authority.record().ifPresent(record -> records.learn(zone, record));
        }
    }

    private void perform(AuthorityAction action) {
        if (action instanceof AuthorityAction.ReadRecord read) {
            read(read);
        } else if (action instanceof AuthorityAction.SwapRecord swap) {
            swap(swap);
        } else if (action instanceof AuthorityAction.SendPromise send) {
            send(send);
        } else if (action instanceof AuthorityAction.SendAdopt send) {
            send(send);
        } else if (action instanceof AuthorityAction.AnswerPromise answer) {
            respond(
                    answer.requestId(),
                    Envelope.newBuilder()
                            .setPromiseAnswer(AuthorityMessages.message(answer.answer()))
                            .build());
        } else if (action instanceof AuthorityAction.AnswerAdopt answer) {
            respond(
                    answer.requestId(),
                    Envelope.newBuilder()
                            .setAdoptAnswer(AuthorityMessages.message(answer.answer()))
                            .build());
        } else {
            performOnTable(action);
        }
    }

    private void performOnTable(AuthorityAction action) {
        long now = clock.millis();
        if (action instanceof AuthorityAction.OpenShard open) {
            LOG.info("authority: this node owns shard {} of {}.", open.shard(), zone);
            if (open.created()) {
                table.openNew(open.shard());
            } else {
                table.openAfterTakeover(open.shard(), now, wallClock.getAsLong());
            }
        } else if (action instanceof AuthorityAction.CloseShard close) {
            LOG.info("authority: this node lost shard {} of {}.", close.shard(), zone);
            table.close(close.shard());
        } else if (action instanceof AuthorityAction.HandOverShard handOver) {
            handOver(handOver, now);
        } else if (action instanceof AuthorityAction.AcceptHandOver accept) {
            List<ShardTable> parts = received.remove(accept.shard());
            if (parts != null) {
                parts.forEach(part -> table.importPart(part, now));
            }
        }
    }

    private void read(AuthorityAction.ReadRecord action) {
        store.run(
                s -> s.read(ZoneRecord.key(zone)),
                value -> on(new AuthorityEvent.RecordRead(
                        action.sentAt(),
                        value.map(v -> ZoneRecord.decode(v.value())),
                        value.map(StoredValue::modRevision).orElse(0L))),
                failure -> on(new AuthorityEvent.ReadFailed(action.sentAt())));
    }

    private void swap(AuthorityAction.SwapRecord action) {
        String operation = action.record().operation();
        LOG.info(
                "authority: writing version {} of the record of {}.",
                action.record().version(),
                zone);
        store.run(
                s -> s.swap(
                        ZoneRecord.key(zone),
                        action.expectedRevision(),
                        action.record().encode()),
                written -> on(
                        written.isPresent()
                                ? new AuthorityEvent.Swapped(
                                        operation, written.get().modRevision())
                                : new AuthorityEvent.SwapLostRace(operation)),
                failure -> on(failed(operation, failure)));
    }

    private static AuthorityEvent failed(String operation, Exception failure) {
        return failure instanceof StoreUnavailableException
                ? new AuthorityEvent.SwapUnavailable(operation)
                : new AuthorityEvent.SwapOutcomeUnknown(operation);
    }

    private void send(AuthorityAction.SendPromise action) {
        Envelope request = Envelope.newBuilder()
                .setPromiseRequest(AuthorityMessages.message(action.request()))
                .build();
        ask(action.address(), request, answer -> {
            if (answer.hasPromiseAnswer()) {
                on(new AuthorityEvent.PromiseAnswered(
                        action.to(), action.sentAt(), AuthorityMessages.answer(answer.getPromiseAnswer())));
            }
        });
    }

    private void send(AuthorityAction.SendAdopt action) {
        Envelope request = Envelope.newBuilder()
                .setAdoptRequest(AuthorityMessages.message(action.request()))
                .build();
        ask(action.address(), request, answer -> {
            if (answer.hasAdoptAnswer()) {
                on(new AuthorityEvent.AdoptAnswered(
                        action.to(), action.exchange(), AuthorityMessages.answer(answer.getAdoptAnswer())));
            }
        });
    }

    private void handOver(AuthorityAction.HandOverShard action, long now) {
        LOG.info("authority: shard {} of {} goes to {}.", action.shard(), zone, action.to());
        CompletableFuture<?> previous = CompletableFuture.completedFuture(null);
        for (ShardTable part :
                table.handOver(action.shard(), now, wallClock.getAsLong()).parts(HAND_OVER_PART_BYTES)) {
            Envelope request = Envelope.newBuilder()
                    .setHandOver(AuthorityMessages.message(part, action.version()))
                    .build();
            previous =
                    previous.thenCompose(done -> transport.sendRequest(action.address(), request, PEER_TIMEOUT_MILLIS));
        }
    }

    private void ask(String address, Envelope request, Consumer<Envelope> answered) {
        var unused =
                transport.sendRequest(address, request, PEER_TIMEOUT_MILLIS).thenAcceptAsync(answered, control);
    }

    private void respond(long requestId, Envelope answer) {
        Consumer<Envelope> responder = responders.remove(requestId);
        if (responder != null) {
            responder.accept(answer);
        }
    }
}
