package org.trefoilledge.node;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.overload.AttemptBudget;
import org.trefoilledge.core.overload.RetryThrottle;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;

/** Places a request on an upstream, sends it there, and retries within its attempt budget. */
final class Dispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

    /** Placements after a "draining" or "unreachable" answer that cost no attempt, because nothing was executed. */
    private static final int FREE_PLACEMENTS = 3;

    private final HostId self;
    private final Placer placer;
    private final GuardService guard;
    private final Peers peers;
    private final Clock clock;
    private final boolean budgetEnabled;
    private final Map<ServiceId, RetryThrottle> ratios = new ConcurrentHashMap<>();
    private final Map<HostId, Long> generations = new ConcurrentHashMap<>();

    Dispatcher(HostId self, Placer placer, GuardService guard, Peers peers, Clock clock, boolean budgetEnabled) {
        this.self = self;
        this.placer = placer;
        this.guard = guard;
        this.peers = peers;
        this.clock = clock;
        this.budgetEnabled = budgetEnabled;
    }

    /** Dispatches a request that needs no authority. */
    CompletableFuture<Answer> dispatch(Exchange exchange) {
        return new Attempts(exchange, () -> true).next();
    }

    /**
     * Dispatches a request on behalf of its arbiter.
     *
     * @param authority whether this node may act for the id; checked before each send, after the generation was read
     */
    CompletableFuture<Answer> dispatch(Exchange exchange, BooleanSupplier authority) {
        return new Attempts(exchange, authority).next();
    }

    private final class Attempts {
        private final Exchange exchange;
        private final BooleanSupplier authority;
        private final Set<HostId> excluded = new HashSet<>();
        private int freePlacements = FREE_PLACEMENTS;
        private boolean mayHaveRun;

        Attempts(Exchange exchange, BooleanSupplier authority) {
            this.exchange = exchange;
            this.authority = authority;
        }

        CompletableFuture<Answer> next() {
            long now = clock.millis();
            if (exchange.cancelled()) {
                return end(Answer.refused(ErrorKind.DEADLINE_EXCEEDED, "the caller went away"));
            }
            if (now >= exchange.deadlineMillis()) {
                return end(Answer.refused(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before placement"));
            }
            Optional<Candidate> candidate =
                    placer.place(exchange.route().service(), excluded, now, ThreadLocalRandom.current());
            if (candidate.isEmpty()) {
                return end(Answer.refused(
                        ErrorKind.NO_UPSTREAM,
                        500,
                        "service " + exchange.route().service()));
            }
            return send(candidate.get(), now);
        }

        private CompletableFuture<Answer> send(Candidate candidate, long now) {
            HostId host = candidate.host();
            int passed = AttemptBudget.childShare(exchange.budget().get());
            exchange.budget().addAndGet(-passed);
            long generation = generations.getOrDefault(host, 0L);
            Call call = CallMessages.call(exchange, passed, now)
                    .setGeneration(generation)
                    .build();
            ratio().recordRequest(now);
            placer.recordStart(host, now);
            LOG.info(
                    "place: request {} of {} on {} goes to {} in {}.",
                    exchange.id(),
                    exchange.organisation(),
                    exchange.route().id(),
                    host,
                    candidate.zone());
            if (!authority.getAsBoolean()) {
                exchange.budget().addAndGet(passed);
                placer.recordEnd(host, Optional.empty(), true, now);
                return end(Answer.refused(ErrorKind.ARBITER_UNAVAILABLE, 500, "authority has lapsed"));
            }
            return transmit(candidate, call).thenCompose(reply -> received(candidate, reply));
        }

        private CompletableFuture<Reply> transmit(Candidate candidate, Call call) {
            if (candidate.host().equals(self)) {
                GuardService.Offered offered = guard.offer(call);
                exchange.onCancel(offered.cancel());
                return offered.answer().handle((answer, error) -> error == null ? Reply.of(answer) : Reply.lost(true));
            }
            return peers.call(candidate.peerAddress(), call, exchange);
        }

        private CompletableFuture<Answer> received(Candidate candidate, Reply reply) {
            HostId host = candidate.host();
            long now = clock.millis();
            placer.recordEnd(
                    host,
                    reply.answer().map(CallMessages::report),
                    reply.answer().isPresent(),
                    now);
            if (reply.answer().isEmpty()) {
                return retryOrEnd(host, lost(host, reply.sent()), now);
            }
            CallAnswer message = reply.answer().get();
            exchange.budget().addAndGet(message.getUnusedBudget());
            generations.put(host, message.getGeneration());
            if (message.getStaleGeneration() && freePlacements > 0) {
                freePlacements--;
                return next();
            }
            return retryOrEnd(host, CallMessages.answer(message), now);
        }

        private Answer lost(HostId host, boolean sent) {
            if (!sent) {
                return Answer.refused(ErrorKind.NO_UPSTREAM, 100, "host " + host + " cannot be reached");
            }
            ErrorKind kind = exchange.route().idempotent() ? ErrorKind.UPSTREAM_FAILED : ErrorKind.OUTCOME_UNKNOWN;
            return Answer.refused(kind, "no answer from host " + host);
        }

        private CompletableFuture<Answer> retryOrEnd(HostId host, Answer answer, long now) {
            mayHaveRun |= !answer.notRun();
            if (!retryable(answer)) {
                return end(answer);
            }
            boolean free = freePlacements > 0
                    && (answer.refusedWith(ErrorKind.DRAINING) || answer.refusedWith(ErrorKind.NO_UPSTREAM));
            if (free) {
                freePlacements--;
            } else if (!takeAttempt(now)) {
                return end(answer);
            }
            excluded.add(host);
            LOG.info("place: request {} is placed again after host {} did not execute it.", exchange.id(), host);
            return next();
        }

        private boolean retryable(Answer answer) {
            if (answer.refusal().isEmpty()) {
                return answer.status() == 503 && exchange.route().idempotent();
            }
            return switch (answer.refusal().get().kind()) {
                case DRAINING, NO_UPSTREAM, OVERLOADED ->
                    !mayHaveRun || exchange.route().idempotent();
                case UPSTREAM_FAILED -> exchange.route().idempotent();
                default -> false;
            };
        }

        private boolean takeAttempt(long now) {
            if (!budgetEnabled) {
                return excluded.size() < FREE_PLACEMENTS;
            }
            if (exchange.budget().get() < 1 || !ratio().tryRetry(now)) {
                return false;
            }
            exchange.budget().decrementAndGet();
            return true;
        }

        private RetryThrottle ratio() {
            return ratios.computeIfAbsent(exchange.route().service(), s -> new RetryThrottle());
        }

        /** An answer that says "not run" would be wrong if an earlier attempt may have run. */
        private CompletableFuture<Answer> end(Answer answer) {
            Answer truthful = answer;
            if (mayHaveRun && answer.notRun()) {
                ErrorKind kind = exchange.route().idempotent() ? ErrorKind.UPSTREAM_FAILED : ErrorKind.OUTCOME_UNKNOWN;
                truthful = Answer.refused(kind, "an earlier attempt may have run")
                        .withAdmissionLevel(answer.admissionLevel());
            }
            return CompletableFuture.completedFuture(
                    truthful.withBudget(exchange.budget().get()));
        }
    }

    /** What came back from a guard; no answer means that it was lost, after the call was sent or not. */
    record Reply(Optional<CallAnswer> answer, boolean sent) {
        static Reply of(CallAnswer answer) {
            return new Reply(Optional.of(answer), true);
        }

        static Reply lost(boolean sent) {
            return new Reply(Optional.empty(), sent);
        }
    }
}
