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
    private static final int MAX_UNCOUNTED_RETRIES = 4;
    /** Time for which a host that takes no work is left out. */
    private static final long HOST_BACKOFF_MILLIS = 500;
    /** What the repeat of a request that makes calls takes from the budget, where another one takes 1. */
    private static final double RETRY_COST_WITH_CALLS = 3;
    /** A repeat is only worth it with this much time left. */
    private static final long MIN_RETRY_TIME_MILLIS = 10;

    private final HostId self;
    private final UpstreamGate gate;
    private final PeerLinks peers;
    private final Placer placer;
    private final EventLoop trafficLoop;
    private final Clock clock;
    private final DecisionLog decisionLog;
    private final RandomGenerator random;
    private final Map<HostId, Long> backoffUntilMillis = new HashMap<>();
    private final Map<ServiceId, RetryThrottle> retryBudgets = new HashMap<>();
    private double retryRatio;
    private double retryReserve;
    private Set<HostId> unreachableHosts = Set.of();
    private final Set<String> routesMakingCalls = new HashSet<>();
    private final Set<InFlightRequest> inFlight = new HashSet<>();

    Dispatcher(
            HostId self,
            UpstreamGate gate,
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
        this.trafficLoop = loop;
        this.clock = clock;
        this.decisionLog = log;
        this.random = random;
    }

    /** Sets this node's part of the repeats that the fleet may send to a service. */
    void setRetryBudget(double ratio, double reserve) {
        if (ratio != retryRatio || reserve != retryReserve) {
            retryRatio = ratio;
            retryReserve = reserve;
            retryBudgets.clear();
        }
    }

    /**
     * Sets the hosts whose nodes do not answer. They get requests only when no other host is left, and idempotent requests
     * that wait for one of them go to another host.
     */
    void unreachableHosts(Set<HostId> hosts) {
        unreachableHosts = hosts;
        List.copyOf(inFlight).forEach(attempts -> attempts.retryIfWaitingFor(hosts));
    }

    /**
     * Work order for one request.
     *
     * @param call the request; its deadline is set for each attempt
     * @param maxAttempts upstreams that may see it
     * @param deadlineMillis when the caller has to have its answer
     */
    record DispatchRequest(
            String requestId, Call.Builder call, ServiceId service, int maxAttempts, long deadlineMillis) {}

    /**
     * Starts to serve a request.
     *
     * @param answered takes the answer, once, unless the request is cancelled before
     * @return cancels the request
     */
    Runnable dispatch(DispatchRequest order, Consumer<CallAnswer> answered) {
        retryBudgets(order.service()).recordRequest(clock.millis());
        InFlightRequest attempts = new InFlightRequest(order, answered);
        inFlight.add(attempts);
        attempts.startNextAttempt();
        return attempts::cancel;
    }

    private RetryThrottle retryBudgets(ServiceId service) {
        return retryBudgets.computeIfAbsent(service, s -> new RetryThrottle(retryRatio, retryReserve));
    }

    private Optional<Candidate> selectCandidate(ServiceId service, Set<HostId> used, long now) {
        backoffUntilMillis.values().removeIf(until -> now >= until);
        if (backoffUntilMillis.isEmpty() && unreachableHosts.isEmpty()) {
            return placer.place(service, used, now, random);
        }
        Set<HostId> excluded = new HashSet<>(used);
        excluded.addAll(unreachableHosts);
        excluded.addAll(backoffUntilMillis.keySet());
        Optional<Candidate> calm = placer.place(service, excluded, now, random);
        return calm.isPresent() ? calm : placer.place(service, used, now, random);
    }

    private final class InFlightRequest {
        private final DispatchRequest request;
        private final Consumer<CallAnswer> onAnswer;
        private final Set<HostId> triedHosts = new HashSet<>();
        private final ScheduledFuture<?> deadlineTimer;
        private int uncountedRetriesLeft = MAX_UNCOUNTED_RETRIES;
        private int countedAttempts;
        private boolean mayHaveRun;
        private boolean done;
        private int attemptNumber;
        private HostId attemptHost;
        private long attemptStartMillis;
        private Runnable cancelAttempt = () -> {};

        InFlightRequest(DispatchRequest order, Consumer<CallAnswer> answered) {
            this.request = order;
            this.onAnswer = answered;
            long left = Math.max(0, order.deadlineMillis() - clock.millis());
            this.deadlineTimer = trafficLoop.schedule(this::expire, left, TimeUnit.MILLISECONDS);
        }

        void startNextAttempt() {
            long now = clock.millis();
            Optional<Candidate> placed = selectCandidate(request.service(), triedHosts, now);
            if (placed.isEmpty()) {
                gate.markUnderPressure();
                complete(Refusals.refusal(ErrorKind.NO_UPSTREAM, "no upstream of " + request.service() + " is left"));
                return;
            }
            Candidate candidate = placed.get();
            attemptHost = candidate.host();
            attemptStartMillis = now;
            int number = ++attemptNumber;
            Call call = request.call()
                    .setDeadlineMillis((int) Math.max(1, request.deadlineMillis() - now))
                    .build();
            placer.started(attemptHost, now);
            Runnable cancel = sendAttempt(candidate, call, number);
            if (attemptNumber == number && !done) {
                cancelAttempt = cancel;
            }
        }

        private Runnable sendAttempt(Candidate candidate, Call call, int number) {
            if (candidate.host().equals(self)) {
                return gate.offer(call, answer -> handleReply(number, candidate, new PeerLinks.Reply(answer, true)));
            }
            return peers.sendCall(candidate.peerAddress(), call, reply -> handleReply(number, candidate, reply));
        }

        private void handleReply(int number, Candidate candidate, PeerLinks.Reply reply) {
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
            if (done || number != attemptNumber) {
                return;
            }
            CallAnswer outcome = answer != null ? answer : refusalForLostAnswer(reply.sent());
            if (outcome.getMakesCalls()) {
                routesMakingCalls.add(request.call().getRoute());
            }
            if (reflectsUpstreamHealth(outcome)) {
                placer.answered(candidate.host(), isUpstreamFailure(outcome), now);
            }
            decisionLog.logAttempt(
                    request.requestId(),
                    attemptHost.value(),
                    attemptNumber,
                    outcomeName(outcome),
                    now - attemptStartMillis);
            retryOrComplete(outcome, now);
        }

        /** Returns whether the outcome tells how the upstream serves; one that makes calls may fail because of theirs. */
        private static boolean reflectsUpstreamHealth(CallAnswer outcome) {
            return !Refusals.isRefusal(outcome)
                    ? outcome.getStatus() < 500 || !outcome.getMakesCalls()
                    : isUpstreamFailure(outcome);
        }

        private static boolean isUpstreamFailure(CallAnswer outcome) {
            return outcome.getReachedUpstream()
                    || Refusals.isRefusal(outcome, ErrorKind.UPSTREAM_FAILED)
                    || (!Refusals.isRefusal(outcome) && outcome.getStatus() >= 500);
        }

        private CallAnswer refusalForLostAnswer(boolean sent) {
            return sent
                    ? Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "no answer from host " + attemptHost)
                    : Refusals.refusal(ErrorKind.NO_UPSTREAM, "host " + attemptHost + " cannot be reached");
        }

        private static String outcomeName(CallAnswer answer) {
            return Refusals.isRefusal(answer) ? answer.getRefusal() : "answered";
        }

        private void retryOrComplete(CallAnswer outcome, long now) {
            boolean notRun = Refusals.isNotRun(outcome);
            boolean seen = !notRun || outcome.getReachedUpstream();
            mayHaveRun |= !notRun;
            countedAttempts += seen ? 1 : 0;
            triedHosts.add(attemptHost);
            boolean failed = Refusals.isRefusal(outcome) || outcome.getStatus() >= 500;
            if (!failed || !mayRetry(outcome, now)) {
                complete(outcome);
                return;
            }
            if (!seen) {
                uncountedRetriesLeft -=
                        Refusals.isRefusal(outcome, ErrorKind.OVERLOADED) ? MAX_UNCOUNTED_RETRIES / 2 : 1;
                backOffHost(outcome, now);
                startNextAttempt();
            } else if (retryBudgets(request.service()).tryRetry(retryCost(), now)) {
                startNextAttempt();
            } else {
                complete(outcome);
            }
        }

        private boolean mayRetry(CallAnswer outcome, long now) {
            boolean time = request.deadlineMillis() - now >= MIN_RETRY_TIME_MILLIS;
            boolean allowed = !mayHaveRun || request.call().getIdempotent();
            boolean hopeless = Refusals.isRefusal(outcome, ErrorKind.DEADLINE_EXCEEDED) || outcome.getStatus() == 504;
            // The failure of an execution that makes calls is likely to be theirs, and a repeat repeats them all.
            boolean ownFailure = Refusals.isRefusal(outcome) || !outcome.getMakesCalls();
            return time
                    && allowed
                    && !hopeless
                    && ownFailure
                    && uncountedRetriesLeft > 0
                    && countedAttempts < request.maxAttempts();
        }

        /** A repeat repeats the calls below it as well, and those count at the services that they reach. */
        private double retryCost() {
            return routesMakingCalls.contains(request.call().getRoute()) ? RETRY_COST_WITH_CALLS : 1;
        }

        private void backOffHost(CallAnswer outcome, long now) {
            if (!Refusals.isRefusal(outcome, ErrorKind.OVERLOADED)) {
                backoffUntilMillis.put(attemptHost, now + HOST_BACKOFF_MILLIS);
                gate.markUnderPressure();
            }
        }

        /** Goes on elsewhere if the host of the attempt is one of those; a request that may run once waits on. */
        void retryIfWaitingFor(Set<HostId> silent) {
            long now = clock.millis();
            boolean waitsThere = silent.contains(attemptHost) && !attemptHost.equals(self);
            boolean last = countedAttempts + 1 >= request.maxAttempts();
            boolean time = request.deadlineMillis() - now >= MIN_RETRY_TIME_MILLIS;
            if (!waitsThere || last || !time || !request.call().getIdempotent() || !hasReachableAlternative(now)) {
                return;
            }
            if (!retryBudgets(request.service()).tryRetry(retryCost(), now)) {
                return;
            }
            decisionLog.logAttempt(
                    request.requestId(), attemptHost.value(), attemptNumber, "silent", now - attemptStartMillis);
            mayHaveRun = true;
            countedAttempts++;
            triedHosts.add(attemptHost);
            Runnable cancelSilent = cancelAttempt;
            startNextAttempt();
            cancelSilent.run();
        }

        /** Returns whether a host that answers is left besides those of this request. */
        private boolean hasReachableAlternative(long now) {
            Set<HostId> excluded = new HashSet<>(triedHosts);
            excluded.add(attemptHost);
            return selectCandidate(request.service(), excluded, now)
                    .filter(candidate -> !unreachableHosts.contains(candidate.host()))
                    .isPresent();
        }

        private void expire() {
            if (done) {
                return;
            }
            cancelAttempt.run();
            deliver(Refusals.refusal(ErrorKind.OUTCOME_UNKNOWN, "the time for the request is over").toBuilder()
                    .setStatus(ErrorKind.DEADLINE_EXCEEDED.status())
                    .build());
        }

        /** A refusal that says "not run" would be wrong if an earlier attempt may have run. */
        private void complete(CallAnswer outcome) {
            boolean wrong = mayHaveRun && Refusals.isNotRun(outcome);
            deliver(wrong ? Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "an earlier attempt may have run") : outcome);
        }

        private void deliver(CallAnswer answer) {
            done = true;
            inFlight.remove(this);
            deadlineTimer.cancel(false);
            onAnswer.accept(answer);
        }

        void cancel() {
            if (!done) {
                done = true;
                inFlight.remove(this);
                deadlineTimer.cancel(false);
                cancelAttempt.run();
            }
        }
    }
}
