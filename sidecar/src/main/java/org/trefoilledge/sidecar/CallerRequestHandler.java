package org.trefoilledge.sidecar;

import com.google.protobuf.UnsafeByteOperations;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.AdmissionGate;
import org.trefoilledge.core.admission.RequestClass;
import org.trefoilledge.core.rate.TokenPool;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Header;

/** Serves the requests that start on this host: filters, placement, answer. Used on the traffic thread. */
final class CallerRequestHandler implements RequestHandler {
    /** Wait asked of a caller whose request was refused for lack of room, spread up to twice the time. */
    private static final long MIN_OVERLOAD_RETRY_AFTER_MILLIS = 300;

    /** A caller that is told to come back needs this long for a new connection. */
    private static final long MIN_RETRY_AFTER_MILLIS = 20;

    private final List<RequestFilter> filters;
    private final Dispatcher dispatcher;
    private final RateLimits rateLimits;
    private final AdmissionGate admission;
    private final LoadMeter loadMeter;
    private final HeaderNames headerNames;
    private final ServiceId localService;
    private final Knowledge knowledge;
    private final Clock clock;
    private final DecisionLog decisionLog;
    private final SidecarMetrics metrics;
    private final RandomGenerator random;

    CallerRequestHandler(
            List<RequestFilter> filters,
            Dispatcher dispatcher,
            RateLimits limits,
            AdmissionGate admission,
            LoadMeter meter,
            HeaderNames names,
            ServiceId service,
            Knowledge knowledge,
            Clock clock,
            DecisionLog log,
            SidecarMetrics metrics,
            RandomGenerator random) {
        this.filters = filters;
        this.dispatcher = dispatcher;
        this.rateLimits = limits;
        this.admission = admission;
        this.loadMeter = meter;
        this.headerNames = names;
        this.localService = service;
        this.knowledge = knowledge;
        this.clock = clock;
        this.decisionLog = log;
        this.metrics = metrics;
        this.random = random;
    }

    @Override
    public Runnable handle(CallerRequest request, Consumer<CallAnswer> answered) {
        RequestContext entry = new RequestContext(request, request.header(headerNames.requestId()));
        for (RequestFilter filter : filters) {
            Optional<CallAnswer> refusal = filter.check(entry);
            if (refusal.isPresent()) {
                sendAnswer(entry, refusal.get(), answered);
                return () -> {};
            }
        }
        PendingRequest work = new PendingRequest(entry, answered);
        work.start();
        return work::cancel;
    }

    /** A request that has passed the filters: it takes a token of its organisation's rate and is placed. */
    private final class PendingRequest {
        private final RequestContext context;
        private final Consumer<CallAnswer> onAnswer;
        private Runnable cancelDispatch = () -> {};
        private boolean cancelled;

        PendingRequest(RequestContext entry, Consumer<CallAnswer> answered) {
            this.context = entry;
            this.onAnswer = answered;
        }

        void start() {
            if (context.isNested()) {
                loadMeter.called(context.route().id());
            } else if (!admit()) {
                sendAnswer(context, Refusals.refusal(ErrorKind.OVERLOADED, retryAfterMillis(), "the plan"), onAnswer);
                return;
            }
            Optional<OrganisationPolicy> limited = context.organisation().filter(OrganisationPolicy::limited);
            if (limited.isPresent()) {
                rateLimits.acquire(
                        limited.get().id(),
                        decision -> handleTokenDecision(limited.get().id(), decision));
            } else {
                dispatch();
            }
        }

        private boolean admit() {
            RequestClass requests = new RequestClass(context.route().id(), context.priority());
            loadMeter.arrived(requests);
            return admission.admit(requests);
        }

        /** Spreads the returns over the time in which an answer would still be in time. */
        private long retryAfterMillis() {
            long target = context.route().targetMillis();
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
            metrics.callerLeft();
            cancelDispatch.run();
        }
    }

    private Dispatcher.DispatchRequest toDispatchRequest(RequestContext entry) {
        HostRoute route = entry.route();
        ServiceId target = route.services().at(random.nextDouble());
        long budget = Math.min(route.timeoutMillis(), callerTimeoutMillis(entry));
        long deadline = entry.request().receivedMillis() + budget;
        return new Dispatcher.DispatchRequest(
                entry.id(), buildCall(entry, target), target, route.maxAttempts(), deadline);
    }

    private long callerTimeoutMillis(RequestContext entry) {
        String text = entry.request().header(headerNames.deadlineMillis());
        try {
            return text.isEmpty() ? Long.MAX_VALUE : Math.max(0, Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private Call.Builder buildCall(RequestContext entry, ServiceId target) {
        CallerRequest request = entry.request();
        Call.Builder call = Call.newBuilder()
                .setRoute(entry.route().id().value())
                .setService(target.value())
                .setOrganisation(entry.organisationName())
                .setImportance(Math.min(3, entry.priority()))
                .setRootHash(entry.id().hashCode())
                .setNested(entry.isNested())
                .setIdempotent(entry.route().idempotent())
                .setMethod(request.method())
                .setTarget(request.target())
                .setBody(UnsafeByteOperations.unsafeWrap(request.body()));
        for (Map.Entry<String, String> header : request.headers()) {
            if (isForwarded(header.getKey(), request)) {
                call.addHeaders(header(header.getKey(), header.getValue()));
            }
        }
        call.addHeaders(header(headerNames.callerService(), localService.value()));
        entry.organisation()
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

    private void sendAnswer(RequestContext entry, CallAnswer outcome, Consumer<CallAnswer> answered) {
        if (Refusals.isNotRun(outcome)) {
            entry.token()
                    .ifPresent(token -> rateLimits.returnToken(
                            entry.organisation().orElseThrow().id(), token));
        }
        CallAnswer answer = toCallerAnswer(entry, outcome);
        metrics.answered(answer, clock.millis() - entry.request().receivedMillis());
        decisionLog.logAnswer(
                entry.id(),
                entry.routeName(),
                entry.organisationName(),
                answer.getStatus(),
                Refusals.isRefusal(outcome) ? outcome.getRefusal() : "upstream",
                outcome.getRefusalReason(),
                knowledge.ageMillis());
        answered.accept(answer);
    }

    /** Turns an outcome into the answer for the caller: the statuses that say "not run" are kept for what is true. */
    private CallAnswer toCallerAnswer(RequestContext entry, CallAnswer outcome) {
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
        if (!entry.id().isEmpty()) {
            answer.addHeaders(header(headerNames.requestId(), entry.id()));
        }
        return answer.build();
    }

    private static boolean impliesNotRun(int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }
}
