package org.trefoilledge.node;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.RequestId;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.idempotency.ArbiterTable;
import org.trefoilledge.core.idempotency.ClaimResult;
import org.trefoilledge.core.idempotency.Outcome;

/** Lets each id of the shards that this node owns run at most once, and answers its repeats. */
final class Arbiter {
    private static final Logger LOG = LoggerFactory.getLogger(Arbiter.class);

    private final ArbiterTable table;
    private final IntPredicate mayAct;
    private final Dispatcher dispatcher;
    private final Clock clock;
    private final LongSupplier wallClock;

    /**
     * Creates an arbiter.
     *
     * @param mayAct whether this node has authority for a shard at this moment
     */
    Arbiter(ArbiterTable table, IntPredicate mayAct, Dispatcher dispatcher, Clock clock, LongSupplier wallClock) {
        this.table = table;
        this.mayAct = mayAct;
        this.dispatcher = dispatcher;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    CompletableFuture<Answer> claim(Exchange exchange, int shard) {
        if (!mayAct.test(shard)) {
            return refused(ErrorKind.ARBITER_UNAVAILABLE, "this node has no authority for shard " + shard);
        }
        RequestId id = exchange.requestId().orElseThrow();
        CompletableFuture<Answer> joined = new CompletableFuture<>();
        ClaimResult claim = table.claim(
                id,
                shard,
                digest(exchange),
                clock.millis(),
                wallClock.getAsLong(),
                result -> joined.complete(settled(result)));
        if (claim instanceof ClaimResult.Start) {
            return dispatch(exchange, id, shard);
        }
        if (claim instanceof ClaimResult.Join join) {
            LOG.info("arbiter: request {} joins the running request with the same id.", exchange.id());
            return join(exchange, id, join, joined);
        }
        LOG.info("arbiter: request {} repeats an id.", exchange.id());
        return CompletableFuture.completedFuture(settled(claim));
    }

    private CompletableFuture<Answer> dispatch(Exchange exchange, RequestId id, int shard) {
        CompletableFuture<Answer> answer;
        try {
            answer = dispatcher.dispatch(exchange, () -> mayAct.test(shard));
        } catch (RuntimeException e) {
            table.completeUnknown(id, clock.millis());
            throw e;
        }
        return answer.whenComplete((result, error) -> settle(id, result, error));
    }

    private void settle(RequestId id, Answer answer, Throwable error) {
        if (error != null || (answer.refusal().isPresent() && !answer.notRun())) {
            table.completeUnknown(id, clock.millis());
        } else if (answer.notRun()) {
            table.release(id, answer.refusal().orElseThrow().kind());
        } else {
            table.complete(id, outcome(answer), clock.millis());
        }
    }

    private CompletableFuture<Answer> join(
            Exchange exchange, RequestId id, ClaimResult.Join join, CompletableFuture<Answer> joined) {
        long left = Math.max(1, exchange.deadlineMillis() - clock.millis());
        return joined.completeOnTimeout(
                        Answer.refused(ErrorKind.OUTCOME_UNKNOWN, "the first request with this id still runs"),
                        left,
                        TimeUnit.MILLISECONDS)
                .whenComplete((answer, error) -> table.withdraw(id, join.ticket()));
    }

    private static Answer settled(ClaimResult claim) {
        if (claim instanceof ClaimResult.Replay replay) {
            Outcome outcome = replay.outcome();
            List<Answer.Header> headers = outcome.headers().stream()
                    .map(h -> new Answer.Header(h.name(), h.value()))
                    .toList();
            return Answer.response(outcome.status(), headers, outcome.body(), "");
        }
        if (claim instanceof ClaimResult.Refuse refuse) {
            return Answer.refused(refuse.kind(), 500, "");
        }
        throw new IllegalStateException("a settled claim is a replay or a refusal, but was: " + claim);
    }

    private static Outcome outcome(Answer answer) {
        List<Outcome.Header> headers = answer.headers().stream()
                .map(h -> new Outcome.Header(h.name(), h.value()))
                .toList();
        return Outcome.answered(answer.status(), headers, answer.body().bytes());
    }

    /** The same id with another route or body is an error, so the digest covers method, target and body. */
    private static String digest(Exchange exchange) {
        return ConfigCodec.digest(
                exchange.method() + " " + exchange.target() + " " + ConfigCodec.digest(exchange.body()));
    }

    private static CompletableFuture<Answer> refused(ErrorKind kind, String reason) {
        return CompletableFuture.completedFuture(Answer.refused(kind, 500, reason));
    }
}
