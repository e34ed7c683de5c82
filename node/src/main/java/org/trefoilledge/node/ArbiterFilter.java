package org.trefoilledge.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.idempotency.ArbiterLocator;
import org.trefoilledge.wire.generated.Call;

/** Sends a non-idempotent request that has an id to the arbiter of that id. */
final class ArbiterFilter implements Filter {
    private final HostId self;
    private final Arbiter arbiter;
    private final ZoneRecords records;
    private final Peers peers;
    private final Clock clock;

    ArbiterFilter(HostId self, Arbiter arbiter, ZoneRecords records, Peers peers, Clock clock) {
        this.self = self;
        this.arbiter = arbiter;
        this.records = records;
        this.peers = peers;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<Answer> apply(Exchange exchange, Next next) {
        if (exchange.requestId().isEmpty()) {
            return next.proceed(exchange);
        }
        var inventory = exchange.snapshot().inventory();
        ZoneId zone = ArbiterLocator.zone(exchange.requestId().get(), inventory.zones());
        int shard = ArbiterLocator.shard(
                exchange.requestId().get(), inventory.rules().shardsPerZone());
        Optional<ZoneRecords.Owner> owner = records.owner(zone, shard);
        if (owner.isEmpty()) {
            return unavailable("no owner is known for shard " + shard + " of " + zone);
        }
        if (owner.get().host().equals(self)) {
            return arbiter.claim(exchange, shard);
        }
        return ask(exchange, owner.get(), shard);
    }

    private CompletableFuture<Answer> ask(Exchange exchange, ZoneRecords.Owner owner, int shard) {
        int budget = exchange.budget().getAndSet(0);
        Call call = CallMessages.call(exchange, budget, clock.millis())
                .setClaim(true)
                .setShard(shard)
                .build();
        return peers.claim(owner.address(), call, exchange).thenApply(reply -> {
            if (reply.answer().isPresent()) {
                return CallMessages.answer(reply.answer().get());
            }
            records.refresh();
            return reply.sent()
                    ? Answer.refused(ErrorKind.OUTCOME_UNKNOWN, "no answer from the arbiter " + owner.host())
                    : Answer.refused(ErrorKind.ARBITER_UNAVAILABLE, 500, "host " + owner.host());
        });
    }

    private static CompletableFuture<Answer> unavailable(String reason) {
        return CompletableFuture.completedFuture(Answer.refused(ErrorKind.ARBITER_UNAVAILABLE, 500, reason));
    }
}
