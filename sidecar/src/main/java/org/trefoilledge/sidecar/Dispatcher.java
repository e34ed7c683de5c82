package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.core.overload.RetryThrottle;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;

/**
 * Places a request on an upstream and sends it there. Another upstream gets it only if the first one certainly has not
 * run it, or if it may run more than once. Used on the traffic thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report how such an operation ended
final class Dispatcher {
    /** Placements after answers that cost no attempt, because no upstream has seen the request. */
    private static final int FREE_PLACEMENTS = 4;
    /** Time for which a host that takes no work is left out. */
    private static final long RESTING_MILLIS = 500;
    /** What the repeat of a request that makes calls takes from the budget, where another one takes 1. */
    private static final double TREE_RETRY_COST = 3;
    /** A repeat is only worth it with this much time left. */
    private static final long LEAST_TIME_MILLIS = 10;

    private final HostId self;
    private final Gate gate;
    private final PeerLinks peers;
    private final Placer placer;
    private final EventLoop loop;
    private final Clock clock;
    private final DecisionLog log;
    private final RandomGenerator random;
    private final Map<HostId, Long> restingUntil = new HashMap<>();
    private final Map<ServiceId, RetryThrottle> retries = new HashMap<>();
    private double retryRatio;
    private double retryReserve;
    private Set<HostId> unreachable = Set.of();
    private final Set<String> callingRoutes = new HashSet<>();
    private final Set<Attempts> open = new HashSet<>();

    Dispatcher(
            HostId self,
            Gate gate,
            PeerLinks peers,
            Placer placer,
            EventLoop loop,
            Clock clock,
            DecisionLog log,
            RandomGenerator random) {
        this.self = self;
        this.gate = gate;
        this.peers = peers;
        this.placer = placer;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.random = random;
    }

    /** Sets this node's part of the repeats that the fleet may send to a service. */
    void retryBudget(double ratio, double reserve) {
        if (ratio != retryRatio || reserve != retryReserve) {
            retryRatio = ratio;
            retryReserve = reserve;
            retries.clear();
        }
    }

    /**
     * Sets the hosts whose nodes do not answer. They get requests only when no other host is left, and idempotent requests
     * that wait for one of them go to another host.
     */
    void unreachable(Set<HostId> hosts) {
        unreachable = hosts;
        List.copyOf(open).forEach(attempts -> attempts.leave(hosts));
    }

    /**
     * Work order for one request.
     *
     * @param call the request; its deadline is set for each attempt
     * @param maxAttempts upstreams that may see it
     * @param deadlineMillis when the caller has to have its answer
     */
    record Order(String requestId, Call.Builder call, ServiceId service, int maxAttempts, long deadlineMillis) {}

    /**
     * Starts to serve a request.
     *
     * @param answered takes the answer, once, unless the request is cancelled before
     * @return cancels the request
     */
    Runnable dispatch(Order order, Consumer<CallAnswer> answered) {
        retries(order.service()).recordRequest(clock.millis());
        Attempts attempts = new Attempts(order, answered);
        open.add(attempts);
        attempts.next();
        return attempts::cancel;
    }

    private RetryThrottle retries(ServiceId service) {
        return retries.computeIfAbsent(service, s -> new RetryThrottle(retryRatio, retryReserve));
    }

    private Optional<Candidate> place(ServiceId service, Set<HostId> used, long now) {
        restingUntil.values().removeIf(until -> now >= until);
        if (restingUntil.isEmpty() && unreachable.isEmpty()) {
            return placer.place(service, used, now, random);
        }
        Set<HostId> excluded = new HashSet<>(used);
        excluded.addAll(unreachable);
        excluded.addAll(restingUntil.keySet());
        Optional<Candidate> calm = placer.place(service, excluded, now, random);
        return calm.isPresent() ? calm : placer.place(service, used, now, random);
    }

    private final class Attempts {
        private final Order order;
        private final Consumer<CallAnswer> answered;
        private final Set<HostId> used = new HashSet<>();
        private final ScheduledFuture<?> deadline;
        private int freePlacements = FREE_PLACEMENTS;
        private int seenByUpstreams;
        private boolean mayHaveRun;
        private boolean done;
        private int attempt;
        private HostId host;
        private long attemptStarted;
        private Runnable cancelAttempt = () -> {};

        Attempts(Order order, Consumer<CallAnswer> answered) {
            this.order = order;
            this.answered = answered;
            long left = Math.max(0, order.deadlineMillis() - clock.millis());
            this.deadline = loop.schedule(this::expire, left, TimeUnit.MILLISECONDS);
        }

        void next() {
            long now = clock.millis();
            Optional<Candidate> placed = place(order.service(), used, now);
            if (placed.isEmpty()) {
                gate.press();
                end(Refusals.refusal(ErrorKind.NO_UPSTREAM, "no upstream of " + order.service() + " is left"));
                return;
            }
            Candidate candidate = placed.get();
            host = candidate.host();
            attemptStarted = now;
            int number = ++attempt;
            Call call = order.call()
                    .setDeadlineMillis((int) Math.max(1, order.deadlineMillis() - now))
                    .build();
            placer.started(host, now);
            Runnable cancel = send(candidate, call, number);
            if (attempt == number && !done) {
                cancelAttempt = cancel;
            }
        }

        private Runnable send(Candidate candidate, Call call, int number) {
            if (candidate.host().equals(self)) {
                return gate.offer(call, answer -> replied(number, candidate, new PeerLinks.Reply(answer, true)));
            }
            return peers.sendCall(candidate.peerAddress(), call, reply -> replied(number, candidate, reply));
        }

        private void replied(int number, Candidate candidate, PeerLinks.Reply reply) {
            long now = clock.millis();
            CallAnswer answer = reply.answer();
            // A request that this node has ended itself says nothing about the host.
            placer.finished(
                    candidate.host(),
                    answer == null
                            ? Optional.empty()
                            : Optional.of(new LoadReport(
                                    answer.getInFlight(), answer.getLimit(), answer.getQueueDelayMillis(), 0)),
                    answer != null || done,
                    now);
            if (done || number != attempt) {
                return;
            }
            CallAnswer outcome = answer != null ? answer : lost(reply.sent());
            if (outcome.getMakesCalls()) {
                callingRoutes.add(order.call().getRoute());
            }
            if (endedByUpstream(outcome)) {
                placer.answered(candidate.host(), failedByUpstream(outcome), now);
            }
            log.placed(order.requestId(), host.value(), attempt, outcome(outcome), now - attemptStarted);
            judge(outcome, now);
        }

        /** Returns whether the outcome tells how the upstream serves; one that makes calls may fail because of theirs. */
        private static boolean endedByUpstream(CallAnswer outcome) {
            return !Refusals.isRefusal(outcome)
                    ? outcome.getStatus() < 500 || !outcome.getMakesCalls()
                    : failedByUpstream(outcome);
        }

        private static boolean failedByUpstream(CallAnswer outcome) {
            return outcome.getReachedUpstream()
                    || Refusals.is(outcome, ErrorKind.UPSTREAM_FAILED)
                    || (!Refusals.isRefusal(outcome) && outcome.getStatus() >= 500);
        }

        private CallAnswer lost(boolean sent) {
            return sent
                    ? Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "no answer from host " + host)
                    : Refusals.refusal(ErrorKind.NO_UPSTREAM, "host " + host + " cannot be reached");
        }

        private static String outcome(CallAnswer answer) {
            return Refusals.isRefusal(answer) ? answer.getRefusal() : "answered";
        }

        private void judge(CallAnswer outcome, long now) {
            boolean notRun = Refusals.notRun(outcome);
            boolean seen = !notRun || outcome.getReachedUpstream();
            mayHaveRun |= !notRun;
            seenByUpstreams += seen ? 1 : 0;
            used.add(host);
            boolean failed = Refusals.isRefusal(outcome) || outcome.getStatus() >= 500;
            if (!failed || !mayRepeat(outcome, now)) {
                end(outcome);
                return;
            }
            if (!seen) {
                freePlacements -= Refusals.is(outcome, ErrorKind.OVERLOADED) ? FREE_PLACEMENTS / 2 : 1;
                rest(outcome, now);
                next();
            } else if (retries(order.service()).tryRetry(retryCost(), now)) {
                next();
            } else {
                end(outcome);
            }
        }

        private boolean mayRepeat(CallAnswer outcome, long now) {
            boolean time = order.deadlineMillis() - now >= LEAST_TIME_MILLIS;
            boolean allowed = !mayHaveRun || order.call().getIdempotent();
            boolean hopeless = Refusals.is(outcome, ErrorKind.DEADLINE_EXCEEDED) || outcome.getStatus() == 504;
            // The failure of an execution that makes calls is likely to be theirs, and a repeat repeats them all.
            boolean ownFailure = Refusals.isRefusal(outcome) || !outcome.getMakesCalls();
            return time
                    && allowed
                    && !hopeless
                    && ownFailure
                    && freePlacements > 0
                    && seenByUpstreams < order.maxAttempts();
        }

        /** A repeat repeats the calls below it as well, and those count at the services that they reach. */
        private double retryCost() {
            return callingRoutes.contains(order.call().getRoute()) ? TREE_RETRY_COST : 1;
        }

        private void rest(CallAnswer outcome, long now) {
            if (!Refusals.is(outcome, ErrorKind.OVERLOADED)) {
                restingUntil.put(host, now + RESTING_MILLIS);
                gate.press();
            }
        }

        /** Goes on elsewhere if the host of the attempt is one of those; a request that may run once waits on. */
        void leave(Set<HostId> silent) {
            long now = clock.millis();
            boolean waitsThere = silent.contains(host) && !host.equals(self);
            boolean last = seenByUpstreams + 1 >= order.maxAttempts();
            boolean time = order.deadlineMillis() - now >= LEAST_TIME_MILLIS;
            if (!waitsThere || last || !time || !order.call().getIdempotent() || !elsewhere(now)) {
                return;
            }
            if (!retries(order.service()).tryRetry(retryCost(), now)) {
                return;
            }
            log.placed(order.requestId(), host.value(), attempt, "silent", now - attemptStarted);
            mayHaveRun = true;
            seenByUpstreams++;
            used.add(host);
            Runnable cancelSilent = cancelAttempt;
            next();
            cancelSilent.run();
        }

        /** Returns whether a host that answers is left besides those of this request. */
        private boolean elsewhere(long now) {
            Set<HostId> excluded = new HashSet<>(used);
            excluded.add(host);
            return place(order.service(), excluded, now)
                    .filter(candidate -> !unreachable.contains(candidate.host()))
                    .isPresent();
        }

        private void expire() {
            if (done) {
                return;
            }
            cancelAttempt.run();
            finish(Refusals.refusal(ErrorKind.OUTCOME_UNKNOWN, "the time for the request is over").toBuilder()
                    .setStatus(ErrorKind.DEADLINE_EXCEEDED.status())
                    .build());
        }

        /** A refusal that says "not run" would be wrong if an earlier attempt may have run. */
        private void end(CallAnswer outcome) {
            boolean wrong = mayHaveRun && Refusals.notRun(outcome);
            finish(wrong ? Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "an earlier attempt may have run") : outcome);
        }

        private void finish(CallAnswer answer) {
            done = true;
            open.remove(this);
            deadline.cancel(false);
            answered.accept(answer);
        }

        void cancel() {
            if (!done) {
                done = true;
                open.remove(this);
                deadline.cancel(false);
                cancelAttempt.run();
            }
        }
    }
}
