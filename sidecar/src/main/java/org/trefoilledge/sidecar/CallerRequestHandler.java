package org.trefoilledge.sidecar;

import com.google.protobuf.UnsafeByteOperations;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.AdmissionGate;
import org.trefoilledge.core.admission.RecentRefusals;
import org.trefoilledge.core.admission.RequestClass;
import org.trefoilledge.core.admission.TreeOutcomeLimit;
import org.trefoilledge.core.rate.TokenPool;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Header;

/**
 * Handles the requests that callers send to this host: filters, admits, dispatches and answers them. Not thread-safe:
 * used on the traffic thread only.
 */
final class CallerRequestHandler implements RequestHandler {
    /** Shortest retry delay after refusals that name no delay. The delay is random, up to twice this time. */
    private static final long MIN_OVERLOAD_RETRY_AFTER_MILLIS = 300;

    /** Shortest retry delay of a caller that is refused by the admission plan: the time to open a new connection. */
    private static final long MIN_RETRY_AFTER_MILLIS = 20;

    private static final Logger LOG = LoggerFactory.getLogger(CallerRequestHandler.class);

    private final List<RequestFilter> filters;
    private final Dispatcher dispatcher;
    private final RateLimits rateLimits;
    private final AdmissionGate admission;
    private final LoadMeter loadMeter;
    private final HeaderNames headerNames;
    private final ServiceId localService;
    private final ConfigState knowledge;
    private final Clock clock;
    private final DecisionLog decisionLog;
    private final SidecarMetrics metrics;
    private final RandomGenerator random;
    private final boolean treeAdmission;
    private final TreeOutcomeLimit treeOutcomes;
    private final RecentRefusals refusedByRetries = new RecentRefusals();
    /** Also read by the control thread. */
    private volatile int routesLimitedByOutcomes;

    /** Routes whose executions make calls. */
    private final Set<RouteId> treeRoutes = new HashSet<>();

    CallerRequestHandler(
            List<RequestFilter> filters,
            Dispatcher dispatcher,
            RateLimits rateLimits,
            AdmissionGate admission,
            LoadMeter loadMeter,
            HeaderNames headerNames,
            ServiceId localService,
            ConfigState knowledge,
            Clock clock,
            DecisionLog decisionLog,
            SidecarMetrics metrics,
            RandomGenerator random,
            boolean treeAdmission,
            TreeOutcomeLimit treeOutcomes) {
        this.filters = filters;
        this.dispatcher = dispatcher;
        this.rateLimits = rateLimits;
        this.admission = admission;
        this.loadMeter = loadMeter;
        this.headerNames = headerNames;
        this.localService = localService;
        this.knowledge = knowledge;
        this.clock = clock;
        this.decisionLog = decisionLog;
        this.metrics = metrics;
        this.random = random;
        this.treeAdmission = treeAdmission;
        this.treeOutcomes = treeOutcomes;
    }

    @Override
    public Runnable handle(CallerRequest request, Consumer<CallAnswer> onAnswer) {
        RequestContext context = new RequestContext(request, request.header(headerNames.requestId()));
        for (RequestFilter filter : filters) {
            Optional<CallAnswer> refusal = filter.check(context);
            if (refusal.isPresent()) {
                sendAnswer(context, refusal.get(), onAnswer);
                return () -> {};
            }
        }
        PendingRequest pending = new PendingRequest(context, onAnswer);
        pending.start();
        return pending::cancel;
    }

    @Override
    public void onCallerLeft(CallerRequest request) {
        recordCallerLeft(new RequestContext(request, request.header(headerNames.requestId())), CallerLeft.UNREAD);
    }

    /** A request that has passed the filters. Takes a token of its organisation's rate limit, then is dispatched. */
    private final class PendingRequest {
        private final RequestContext context;
        private final Consumer<CallAnswer> onAnswer;
        /** Cancels the dispatched request; null until it is dispatched. */
        private Runnable cancelDispatch;

        private boolean cancelled;

        PendingRequest(RequestContext context, Consumer<CallAnswer> onAnswer) {
            this.context = context;
            this.onAnswer = onAnswer;
        }

        void start() {
            if (context.isNested()) {
                loadMeter.called(context.route().id());
            } else {
                Optional<CallAnswer> refusal = refusalByAdmission();
                if (refusal.isPresent()) {
                    sendAnswer(context, refusal.get(), onAnswer);
                    return;
                }
            }
            Optional<OrganisationPolicy> limited = context.organisation().filter(OrganisationPolicy::hasRateLimit);
            if (limited.isPresent()) {
                rateLimits.acquire(
                        limited.get().id(),
                        decision -> handleTokenDecision(limited.get().id(), decision));
            } else {
                dispatch();
            }
        }

        private Optional<CallAnswer> refusalByAdmission() {
            RequestClass requestClass = new RequestClass(context.route().id(), context.rank());
            loadMeter.arrived(requestClass);
            boolean byRetries = admission.isLimitedByRetries(requestClass);
            boolean repeated = byRetries && refusedByRetries.contains(context.id(), clock.millis());
            if (!admission.admit(requestClass, repeated)) {
                if (byRetries) {
                    refusedByRetries.add(context.id(), clock.millis());
                }
                metrics.recordAdmissionRefusal(byRetries ? "retries" : "slots");
                long retryAfterMillis = byRetries ? lateRetryAfterMillis() : retryAfterMillis();
                return Optional.of(Refusals.refusal(ErrorKind.OVERLOADED, retryAfterMillis, "the plan"));
            }
            if (treeAdmission && !admission.decides(requestClass) && !treeOutcomes.admit(requestClass.route())) {
                metrics.recordAdmissionRefusal("outcomes");
                return Optional.of(
                        Refusals.refusal(ErrorKind.OVERLOADED, retryAfterMillis(), "most trees of the route fail"));
            }
            return Optional.empty();
        }

        /**
         * Returns a random time in the second half of the longest one that the caller honours, a third of what it has
         * left, because services fail for seconds.
         */
        private long lateRetryAfterMillis() {
            long elapsedMillis = clock.millis() - context.request().receivedMillis();
            long longest = (context.timeoutMillis(headerNames.deadlineMillis()) - elapsedMillis) / 3;
            return Math.max(MIN_RETRY_AFTER_MILLIS, random.nextLong(longest / 2, Math.max(longest, 1) + 1));
        }

        /** Returns a random part of the route's target time, to spread retries that can still be answered in time. */
        private long retryAfterMillis() {
            long target = context.route().targetLatencyMillis();
            return Math.max(MIN_RETRY_AFTER_MILLIS, random.nextLong(target / 4, 3 * target / 4 + 1));
        }

        private void handleTokenDecision(OrganisationId organisation, RateLimits.Decision decision) {
            switch (decision.verdict()) {
                case OVER_LIMIT ->
                    sendAnswer(
                            context,
                            Refusals.refusal(ErrorKind.RATE_LIMITED, decision.retryAfterMillis(), "over the rate"),
                            onAnswer);
                case NO_OWNER ->
                    sendAnswer(
                            context,
                            Refusals.refusal(ErrorKind.NOT_READY, decision.retryAfterMillis(), "no owner of the limit"),
                            onAnswer);
                case GRANTED -> dispatchWithToken(organisation, decision.token().orElseThrow());
            }
        }

        private void dispatchWithToken(OrganisationId organisation, TokenPool.Token token) {
            if (cancelled) {
                rateLimits.returnToken(organisation, token);
            } else {
                context.token(token);
                dispatch();
            }
        }

        private void dispatch() {
            cancelDispatch =
                    dispatcher.dispatch(toDispatchRequest(context), outcome -> sendAnswer(context, outcome, onAnswer));
        }

        void cancel() {
            cancelled = true;
            recordCallerLeft(context, cancelDispatch == null ? CallerLeft.WAITING_FOR_TOKEN : CallerLeft.DISPATCHED);
            if (cancelDispatch != null) {
                cancelDispatch.run();
            }
        }
    }

    private void recordCallerLeft(RequestContext context, CallerLeft stage) {
        metrics.recordCallerLeft(stage);
        long ageMillis = clock.millis() - context.request().receivedMillis();
        decisionLog.logCallerLeft(context.id(), context.routeName(), stage, ageMillis);
    }

    private Dispatcher.DispatchRequest toDispatchRequest(RequestContext context) {
        HostRoute route = context.route();
        ServiceId target = route.trafficSplit().select(random.nextDouble());
        long deadlineMillis = context.request().receivedMillis() + context.timeoutMillis(headerNames.deadlineMillis());
        return new Dispatcher.DispatchRequest(
                context.id(), buildCall(context, target), target, route.maxAttempts(), deadlineMillis);
    }

    private Call.Builder buildCall(RequestContext context, ServiceId target) {
        CallerRequest request = context.request();
        Call.Builder call = Call.newBuilder()
                .setRoute(context.route().id().value())
                .setService(target.value())
                .setOrganisation(context.organisationName())
                .setImportance(Math.min(3, context.priority()))
                .setRootHash(context.id().hashCode())
                .setNested(context.isNested())
                .setIdempotent(context.route().idempotent())
                .setMethod(request.method())
                .setTarget(request.target())
                .setBody(UnsafeByteOperations.unsafeWrap(request.body()));
        for (Map.Entry<String, String> header : request.headers()) {
            if (isForwarded(header.getKey(), request)) {
                call.addHeaders(header(header.getKey(), header.getValue()));
            }
        }
        call.addHeaders(header(headerNames.callerService(), localService.value()));
        context.organisation()
                .ifPresent(policy -> call.addHeaders(
                        header(headerNames.organisation(), policy.id().value())));
        return call;
    }

    private boolean isForwarded(String name, CallerRequest request) {
        if (name.equalsIgnoreCase(headerNames.requestId())) {
            return true;
        }
        boolean setHere = name.equalsIgnoreCase(headerNames.key())
                || name.equalsIgnoreCase(headerNames.organisation())
                || name.equalsIgnoreCase(headerNames.callerService())
                || name.equalsIgnoreCase(headerNames.expectedUpstream())
                || name.equalsIgnoreCase(headerNames.deadlineMillis());
        return !setHere && ForwardedHeaders.isForwarded(name, request.headers());
    }

    private static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }

    private void sendAnswer(RequestContext context, CallAnswer outcome, Consumer<CallAnswer> onAnswer) {
        if (Refusals.isNotRun(outcome)) {
            context.token()
                    .ifPresent(token -> rateLimits.returnToken(
                            context.organisation().orElseThrow().id(), token));
        }
        CallAnswer answer = toCallerAnswer(context, outcome);
        if (treeAdmission) {
            recordTreeOutcome(context, outcome);
        }
        metrics.recordAnswer(answer, clock.millis() - context.request().receivedMillis());
        decisionLog.logAnswer(
                context.id(),
                context.routeName(),
                context.organisationName(),
                answer.getStatus(),
                Refusals.isRefusal(outcome) ? outcome.getRefusal() : "upstream",
                outcome.getRefusalReason(),
                knowledge.ageMillis());
        onAnswer.accept(answer);
    }

    /** Returns the number of routes that are limited by the outcomes of their call trees. May be called from any thread. */
    int routesLimitedByOutcomes() {
        return routesLimitedByOutcomes;
    }

    /** Records the outcome of a call tree that a caller started; requests that have not run are no outcome. */
    private void recordTreeOutcome(RequestContext context, CallAnswer outcome) {
        if (context.route() == null || context.isNested() || Refusals.isNotRun(outcome)) {
            return;
        }
        RouteId route = context.route().id();
        if (outcome.getMakesCalls()) {
            treeRoutes.add(route);
        }
        if (admission.decides(new RequestClass(route, context.rank()))) {
            treeOutcomes.forget(route);
            routesLimitedByOutcomes = treeOutcomes.limitedRoutes();
        } else if (treeRoutes.contains(route)
                && treeOutcomes.recordOutcome(route, outcome.getStatus() >= 500, clock.millis())) {
            routesLimitedByOutcomes = treeOutcomes.limitedRoutes();
            LOG.info(
                    "admission: {} of the requests on route {} are admitted, by the outcomes of its call trees",
                    treeOutcomes.admittedFraction(route),
                    route);
        }
    }

    /**
     * Converts an outcome to the answer for the caller. Statuses that imply that a request has not run are sent only if
     * that is certain.
     */
    private CallAnswer toCallerAnswer(RequestContext context, CallAnswer outcome) {
        if (!Refusals.isRefusal(outcome)) {
            return impliesNotRun(outcome.getStatus())
                    ? Refusals.refusal(ErrorKind.OUTCOME_UNKNOWN, "the upstream answered " + outcome.getStatus())
                    : outcome;
        }
        CallAnswer.Builder answer = outcome.toBuilder();
        if (Refusals.isNotRun(outcome) && outcome.getStatus() >= 500) {
            answer.setStatus(ErrorKind.OVERLOADED.status());
            if (outcome.getRetryAfterMillis() == 0) {
                answer.setRetryAfterMillis(
                        (int) random.nextLong(MIN_OVERLOAD_RETRY_AFTER_MILLIS, 2 * MIN_OVERLOAD_RETRY_AFTER_MILLIS));
            }
        }
        if (!context.id().isEmpty()) {
            answer.addHeaders(header(headerNames.requestId(), context.id()));
        }
        return answer.build();
    }

    private static boolean impliesNotRun(int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }
}
