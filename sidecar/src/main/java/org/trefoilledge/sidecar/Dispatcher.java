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
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.overload.AttemptOutcome;
import org.trefoilledge.core.overload.AttemptPolicy;
import org.trefoilledge.core.overload.HostBackoff;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.core.overload.RetryBudget;
import org.trefoilledge.core.overload.RetryCost;
import org.trefoilledge.core.overload.RetryThrottle;
import org.trefoilledge.core.overload.SlidingRetryThrottle;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.placement.PlacementExplanation;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;

/**
 * Selects a host for each request, sends the request there and retries it on other hosts. A request is retried only if
 * it certainly has not run, or if it is idempotent. Not thread-safe: used on the traffic thread only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // channel events and timers report failures
final class Dispatcher {
    /** Retry-After of requests to a service whose upstreams are all in evacuated zones; evacuations last for longer. */
    private static final long EVACUATED_RETRY_AFTER_MILLIS = 1_000;

    private final HostId self;
    private final UpstreamGate gate;
    private final PeerLinks peers;
    private final Placer placer;
    private final EventLoop trafficLoop;
    private final Clock clock;
    private final DecisionLog decisionLog;
    private final SidecarMetrics metrics;
    private final RandomGenerator random;
    private final boolean treeAdmission;
    private final HostBackoff hostBackoff = new HostBackoff();
    private final Map<ServiceId, RetryBudget> retryBudgets = new HashMap<>();
    private double retryRatio;
    private double retryReserve;
    private Set<HostId> unreachableHosts = Set.of();
    private Set<ServiceId> emptiedServices = Set.of();
    private final Set<String> routesMakingCalls = new HashSet<>();
    private final Set<InFlightRequest> inFlight = new HashSet<>();

    Dispatcher(
            HostId self,
            UpstreamGate gate,
            PeerLinks peers,
            Placer placer,
            EventLoop trafficLoop,
            Clock clock,
            DecisionLog decisionLog,
            SidecarMetrics metrics,
            RandomGenerator random,
            boolean treeAdmission) {
        this.self = self;
        this.gate = gate;
        this.peers = peers;
        this.placer = placer;
        this.trafficLoop = trafficLoop;
        this.clock = clock;
        this.decisionLog = decisionLog;
        this.metrics = metrics;
        this.random = random;
        this.treeAdmission = treeAdmission;
    }

    /** Sets this node's share of the retries per service: a ratio to the requests sent, and a reserve. */
    void setRetryBudget(double ratio, double reserve) {
        if (ratio != retryRatio || reserve != retryReserve) {
            retryRatio = ratio;
            retryReserve = reserve;
            retryBudgets.replaceAll((service, budget) -> budget.withLimits(ratio, reserve));
        }
    }

    /**
     * Sets the hosts whose nodes do not answer. Requests are sent to them only if no other host is left, and idempotent
     * requests that wait for one of them are retried on another host.
     */
    void unreachableHosts(Set<HostId> hosts) {
        unreachableHosts = hosts;
        List.copyOf(inFlight).forEach(request -> request.retryIfWaitingFor(hosts));
    }

    /** Sets the services whose upstreams are all in evacuated zones. */
    void emptiedServices(Set<ServiceId> services) {
        emptiedServices = services;
    }

    /**
     * A request to be sent to an upstream of a service.
     *
     * @param call the call to send; its deadline is set for each attempt
     * @param maxAttempts maximum number of attempts that reach an upstream
     * @param deadlineMillis time at which the request fails if it is unanswered
     */
    record DispatchRequest(
            String requestId, Call.Builder call, ServiceId service, int maxAttempts, long deadlineMillis) {}

    /**
     * Starts to send a request.
     *
     * @param onAnswer receives the answer, exactly once unless the request is cancelled before
     * @return an action that cancels the request
     */
    Runnable dispatch(DispatchRequest request, Consumer<CallAnswer> onAnswer) {
        long now = clock.millis();
        retryBudget(request.service()).recordRequest(now);
        InFlightRequest sending = new InFlightRequest(request, onAnswer, now);
        inFlight.add(sending);
        sending.startNextAttempt(now);
        return sending::cancel;
    }

    /** Returns which upstreams a request to the service may go to now, and why not to the others. Changes nothing. */
    PlacementExplanation explain(ServiceId service) {
        long now = clock.millis();
        return placer.explain(service, unreachableHosts::contains, host -> hostBackoff.isActive(host, now), now);
    }

    private RetryBudget retryBudget(ServiceId service) {
        return retryBudgets.computeIfAbsent(
                service,
                s -> treeAdmission
                        ? new SlidingRetryThrottle(retryRatio, retryReserve)
                        : new RetryThrottle(retryRatio, retryReserve));
    }

    private Optional<Candidate> selectCandidate(ServiceId service, Set<HostId> triedHosts, long now) {
        Set<HostId> avoidedHosts = hostBackoff.active(now);
        if (avoidedHosts.isEmpty() && unreachableHosts.isEmpty()) {
            return placer.place(service, triedHosts, now, random);
        }
        Set<HostId> excluded = new HashSet<>(triedHosts);
        excluded.addAll(unreachableHosts);
        excluded.addAll(avoidedHosts);
        Optional<Candidate> preferred = placer.place(service, excluded, now, random);
        return preferred.isPresent() ? preferred : placer.place(service, triedHosts, now, random);
    }

    /** A request that is being sent, with the state of its attempts. */
    private final class InFlightRequest {
        private final DispatchRequest request;
        private final Consumer<CallAnswer> onAnswer;
        private final Set<HostId> triedHosts = new HashSet<>();
        private final ScheduledFuture<?> deadlineTimer;
        private final AttemptPolicy policy;
        /** Longest time until the rate of a cold upstream that has refused the request allows more, 0 without one. */
        private long retryAfterMillis;

        private boolean done;
        private int attemptNumber;
        private HostId attemptHost;
        private long attemptStartMillis;
        private Runnable cancelAttempt = () -> {};

        InFlightRequest(DispatchRequest request, Consumer<CallAnswer> onAnswer, long now) {
            this.request = request;
            this.onAnswer = onAnswer;
            this.policy = new AttemptPolicy(
                    request.maxAttempts(), request.call().getIdempotent(), request.deadlineMillis(), !treeAdmission);
            long remainingMillis = Math.max(0, request.deadlineMillis() - now);
            this.deadlineTimer = trafficLoop.schedule(this::expire, remainingMillis, TimeUnit.MILLISECONDS);
        }

        void startNextAttempt(long now) {
            Optional<Candidate> selected = selectCandidate(request.service(), triedHosts, now);
            if (selected.isEmpty()) {
                gate.markUnderPressure();
                complete(Refusals.refusal(
                        ErrorKind.NO_UPSTREAM,
                        emptiedServices.contains(request.service()) ? EVACUATED_RETRY_AFTER_MILLIS : retryAfterMillis,
                        "no upstream of " + request.service() + " is left"));
                return;
            }
            Candidate candidate = selected.get();
            attemptHost = candidate.host();
            attemptStartMillis = now;
            int number = ++attemptNumber;
            Call call = request.call()
                    .setDeadlineMillis((int) Math.max(1, request.deadlineMillis() - now))
                    .build();
            placer.recordStart(attemptHost, now);
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
            // A missing answer to a request that this node has ended itself is no failure of the host.
            placer.recordEnd(
                    candidate.host(),
                    answer == null
                            ? Optional.empty()
                            : Optional.of(new LoadReport(
                                    answer.getInFlight(), answer.getLimit(), answer.getQueueDelayMillis(), 0)),
                    answer != null || done,
                    now);
            if (answer != null && answer.getServiceTimeMillis() > 0) {
                RouteId route = new RouteId(request.call().getRoute());
                placer.recordServiceTime(candidate.host(), route, answer.getServiceTimeMillis(), now);
            }
            if (done || number != attemptNumber) {
                return;
            }
            CallAnswer outcome = answer != null ? answer : refusalForLostAnswer(reply.sent());
            if (outcome.getMakesCalls()) {
                routesMakingCalls.add(request.call().getRoute());
            }
            if (reflectsUpstreamHealth(outcome)) {
                placer.recordOutcome(candidate.host(), isUpstreamFailure(outcome), now);
            }
            decisionLog.logAttempt(
                    request.requestId(),
                    attemptHost.value(),
                    attemptNumber,
                    outcomeName(outcome),
                    now - attemptStartMillis);
            retryOrComplete(outcome, now);
        }

        /**
         * Returns whether the outcome reflects the health of the upstream. An error status of an execution that makes
         * calls does not, because the cause may be one of these calls.
         */
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
            triedHosts.add(attemptHost);
            if (ColdStartControl.isRefusal(outcome)) {
                retryAfterMillis = Math.max(retryAfterMillis, outcome.getRetryAfterMillis());
            }
            AttemptOutcome attempt = toAttemptOutcome(outcome);
            gate.recordAttempt(attempt.failed() && attempt.reachedUpstream());
            switch (policy.next(attempt, now)) {
                case RETRY -> {
                    backOffHost(outcome, now);
                    startNextAttempt(now);
                }
                case RETRY_WITHIN_BUDGET -> {
                    if (tryRetry(now)) {
                        startNextAttempt(now);
                    } else {
                        complete(outcome);
                    }
                }
                case COMPLETE -> complete(outcome);
            }
        }

        private static AttemptOutcome toAttemptOutcome(CallAnswer outcome) {
            boolean refusal = Refusals.isRefusal(outcome);
            boolean notRun = Refusals.isNotRun(outcome);
            return new AttemptOutcome(
                    refusal || outcome.getStatus() >= 500,
                    refusal,
                    notRun,
                    !notRun || outcome.getReachedUpstream(),
                    // A cold upstream says nothing about the load of the others.
                    Refusals.isRefusal(outcome, ErrorKind.OVERLOADED) && !ColdStartControl.isRefusal(outcome),
                    Refusals.isRefusal(outcome, ErrorKind.DEADLINE_EXCEEDED) || outcome.getStatus() == 504,
                    outcome.getMakesCalls());
        }

        /** Takes a retry from the budget. A retry also repeats nested calls, which count at the services they reach. */
        private boolean tryRetry(long now) {
            double cost = RetryCost.of(routesMakingCalls.contains(request.call().getRoute()));
            boolean granted =
                    retryBudget(request.service()).tryRetry(cost, request.call().getNested(), now);
            metrics.recordRetry(granted);
            if (granted) {
                gate.recordRetry(request.service(), cost);
            }
            return granted;
        }

        private void backOffHost(CallAnswer outcome, long now) {
            if (!Refusals.isRefusal(outcome, ErrorKind.OVERLOADED)) {
                hostBackoff.add(attemptHost, now);
                gate.markUnderPressure();
            }
        }

        /**
         * Retries the request on another host if its current host is one of the given ones. A request that is not
         * idempotent keeps waiting.
         */
        void retryIfWaitingFor(Set<HostId> silentHosts) {
            long now = clock.millis();
            boolean waiting = silentHosts.contains(attemptHost) && !attemptHost.equals(self);
            if (!waiting || !policy.mayAbandonAttempt(now) || !hasReachableAlternative(now) || !tryRetry(now)) {
                return;
            }
            decisionLog.logAttempt(
                    request.requestId(), attemptHost.value(), attemptNumber, "silent", now - attemptStartMillis);
            policy.abandonAttempt();
            triedHosts.add(attemptHost);
            Runnable cancelPrevious = cancelAttempt;
            startNextAttempt(now);
            cancelPrevious.run();
        }

        /** Returns whether there is a reachable host that has not been tried for this request. */
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

        /** Ends the request. Replaces a "not run" refusal, which is wrong if an earlier attempt may have run. */
        private void complete(CallAnswer outcome) {
            boolean misleading = policy.mayHaveRun() && Refusals.isNotRun(outcome);
            deliver(
                    misleading
                            ? Refusals.refusal(ErrorKind.UPSTREAM_FAILED, "an earlier attempt may have run")
                            : outcome);
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
