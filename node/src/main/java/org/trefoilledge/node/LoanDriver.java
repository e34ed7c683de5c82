package org.trefoilledge.node;

import java.util.Optional;
import java.util.concurrent.Executor;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.limit.BorrowRequest;
import org.trefoilledge.core.limit.LoanGrant;
import org.trefoilledge.core.limit.TokenBorrower;
import org.trefoilledge.core.limit.TokenLender;
import org.trefoilledge.wire.PeerTransport;
import org.trefoilledge.wire.generated.Envelope;
import org.trefoilledge.wire.generated.LoanAnswer;
import org.trefoilledge.wire.generated.LoanRequest;

/** Borrows tokens for this node and lends from the shards that it owns. Runs on the control thread. */
final class LoanDriver {
    private static final long TIMEOUT_MILLIS = 200;

    private final HostId self;
    private final ZoneId zone;
    private final TokenBorrower wallet;
    private final TokenLender book;
    private final AuthorityDriver authority;
    private final ZoneRecords records;
    private final PeerTransport transport;
    private final Executor control;
    private final Clock clock;

    LoanDriver(
            HostId self,
            ZoneId zone,
            TokenBorrower wallet,
            TokenLender book,
            AuthorityDriver authority,
            ZoneRecords records,
            PeerTransport transport,
            Executor control,
            Clock clock) {
        this.self = self;
        this.zone = zone;
        this.wallet = wallet;
        this.book = book;
        this.authority = authority;
        this.records = records;
        this.transport = transport;
        this.control = control;
        this.clock = clock;
    }

    void configure(Inventory inventory) {
        long now = clock.millis();
        int shards = inventory.rules().shardsPerZone();
        wallet.configure(inventory.organisations().values(), inventory.zones(), zone, shards, now);
        book.configure(inventory.organisations().values(), inventory.zones().size(), shards, now);
    }

    void tick() {
        long now = clock.millis();
        book.setOwnedShards(authority.shards(), now);
        wallet.tick(now).forEach(this::ask);
    }

    /** Lends from a shard, if this node has authority over it at this moment. */
    LoanAnswer lend(LoanRequest request) {
        LoanGrant grant =
                lend(new OrganisationId(request.getOrganisation()), request.getShard(), request.getWantedMicros());
        return LoanAnswer.newBuilder()
                .setGrantedMicros(grant.grantedMicros())
                .setRetryAfterMillis((int) grant.retryAfterMillis())
                .build();
    }

    private LoanGrant lend(OrganisationId organisation, int shard, long wanted) {
        if (!authority.mayAct(shard)) {
            records.refresh();
            return new LoanGrant(0, TIMEOUT_MILLIS);
        }
        return book.lend(organisation, shard, wanted, clock.millis());
    }

    private void ask(BorrowRequest ask) {
        Optional<ZoneRecords.Owner> owner = records.owner(ask.zone(), ask.shard());
        if (owner.isEmpty()) {
            records.refresh();
            wallet.handleFailure(ask.id(), clock.millis());
        } else if (owner.get().host().equals(self)) {
            wallet.handleGrant(ask.id(), lend(ask.organisation(), ask.shard(), ask.wantedMicros()), clock.millis());
        } else {
            send(ask, owner.get());
        }
    }

    private void send(BorrowRequest ask, ZoneRecords.Owner owner) {
        Envelope request = Envelope.newBuilder()
                .setLoanRequest(LoanRequest.newBuilder()
                        .setOrganisation(ask.organisation().value())
                        .setShard(ask.shard())
                        .setWantedMicros(ask.wantedMicros()))
                .build();
        var unused = transport
                .sendRequest(owner.address(), request, TIMEOUT_MILLIS)
                .whenCompleteAsync(
                        (answer, error) -> {
                            if (error == null && answer.hasLoanAnswer()) {
                                wallet.handleGrant(ask.id(), grant(answer.getLoanAnswer()), clock.millis());
                            } else {
                                records.refresh();
                                wallet.handleFailure(ask.id(), clock.millis());
                            }
                        },
                        control);
    }

    private static LoanGrant grant(LoanAnswer answer) {
        return new LoanGrant(answer.getGrantedMicros(), answer.getRetryAfterMillis());
    }
}
