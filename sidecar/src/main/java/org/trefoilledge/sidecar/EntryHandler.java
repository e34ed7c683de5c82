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
final class EntryHandler implements RequestHandler {
    /** Wait asked of a caller whose request was refused for lack of room, spread up to twice the time. */
    private static final long OVERLOAD_RETRY_MILLIS = 300;

    /** A caller that is told to come back needs this long for a new connection. */
    private static final long SOONEST_RETURN_MILLIS = 20;

    private final List<EntryFilter> filters;
    private final Dispatcher dispatcher;
    private final RateLimits limits;
    private final AdmissionGate admission;
    private final LoadMeter meter;
    private final HeaderNames names;
    private final ServiceId service;
    private final Knowledge knowledge;
    private final Clock clock;
    private final DecisionLog log;
    private final SidecarMetrics metrics;
    private final RandomGenerator random;

    EntryHandler(
            List<EntryFilter> filters,
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
        this.limits = limits;
        this.admission = admission;
        this.meter = meter;
        this.names = names;
        this.service = service;
        this.knowledge = knowledge;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.random = random;
    }

    @Override
    public Runnable handle(CallerRequest request, Consumer<CallAnswer> answered) {
        Entry entry = new Entry(request, request.header(names.requestId()));
        for (EntryFilter filter : filters) {
            Optional<CallAnswer> refusal = filter.refuse(entry);
            if (refusal.isPresent()) {
                answer(entry, refusal.get(), answered);
                return () -> {};
            }
        }
        Work work = new Work(entry, answered);
        work.start();
        return work::cancel;
    }

    /** A request that has passed the filters: it takes a token of its organisation's rate and is placed. */
    private final class Work {
        private final Entry entry;
        private final Consumer<CallAnswer> answered;
        private Runnable cancelDispatch = () -> {};
        private boolean cancelled;

        Work(Entry entry, Consumer<CallAnswer> answered) {
            this.entry = entry;
            this.answered = answered;
        }

        void start() {
            if (entry.nested()) {
                meter.called(entry.route().id());
            } else if (!admitted()) {
                answer(entry, Refusals.refusal(ErrorKind.OVERLOADED, comeBackMillis(), "the plan"), answered);
                return;
            }
            Optional<OrganisationPolicy> limited = entry.organisation().filter(OrganisationPolicy::limited);
            if (limited.isPresent()) {
                limits.acquire(
                        limited.get().id(),
                        decision -> tokenDecided(limited.get().id(), decision));
            } else {
                dispatch();
            }
        }

        private boolean admitted() {
            RequestClass requests = new RequestClass(entry.route().id(), entry.priority());
            meter.arrived(requests);
            return admission.admit(requests);
        }

        /** Spreads the returns over the time in which an answer would still be in time. */
        private long comeBackMillis() {
            long target = entry.route().targetMillis();
            return Math.max(SOONEST_RETURN_MILLIS, random.nextLong(target / 4, 3 * target / 4 + 1));
        }

        private void tokenDecided(OrganisationId organisation, RateLimits.Decision decision) {
            switch (decision.verdict()) {
                case OVER_LIMIT ->
                    answer(
                            entry,
                            Refusals.refusal(ErrorKind.RATE_LIMITED, decision.retryAfterMillis(), "over the rate"),
                            answered);
                case NO_OWNER ->
                    answer(
                            entry,
                            Refusals.refusal(ErrorKind.NOT_READY, decision.retryAfterMillis(), "no owner of the limit"),
                            answered);
                case GRANTED -> granted(organisation, decision.token().orElseThrow());
            }
        }

        private void granted(OrganisationId organisation, TokenPool.Token token) {
            if (cancelled) {
                limits.returnToken(organisation, token);
            } else {
                entry.token(token);
                dispatch();
            }
        }

        private void dispatch() {
            cancelDispatch = dispatcher.dispatch(order(entry), outcome -> answer(entry, outcome, answered));
        }

        void cancel() {
            cancelled = true;
            metrics.callerLeft();
            cancelDispatch.run();
        }
    }

    private Dispatcher.Order order(Entry entry) {
        HostRoute route = entry.route();
        ServiceId target = route.services().at(random.nextDouble());
        long budget = Math.min(route.timeoutMillis(), callerDeadline(entry));
        long deadline = entry.request().receivedMillis() + budget;
        return new Dispatcher.Order(entry.id(), call(entry, target), target, route.maxAttempts(), deadline);
    }

    private long callerDeadline(Entry entry) {
        String text = entry.request().header(names.deadlineMillis());
        try {
            return text.isEmpty() ? Long.MAX_VALUE : Math.max(0, Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private Call.Builder call(Entry entry, ServiceId target) {
        CallerRequest request = entry.request();
        Call.Builder call = Call.newBuilder()
                .setRoute(entry.route().id().value())
                .setService(target.value())
                .setOrganisation(entry.organisationName())
                .setImportance(Math.min(3, entry.priority()))
                .setRootHash(entry.id().hashCode())
                .setNested(entry.nested())
                .setIdempotent(entry.route().idempotent())
                .setMethod(request.method())
                .setTarget(request.target())
                .setBody(UnsafeByteOperations.unsafeWrap(request.body()));
        for (Map.Entry<String, String> header : request.headers()) {
            if (passedOn(header.getKey(), request)) {
                call.addHeaders(header(header.getKey(), header.getValue()));
            }
        }
        call.addHeaders(header(names.callerService(), service.value()));
        entry.organisation()
                .ifPresent(policy ->
                        call.addHeaders(header(names.organisation(), policy.id().value())));
        return call;
    }

    private boolean passedOn(String name, CallerRequest request) {
        if (name.equalsIgnoreCase(names.requestId())) {
            return true;
        }
        boolean setHere = name.equalsIgnoreCase(names.key())
                || name.equalsIgnoreCase(names.organisation())
                || name.equalsIgnoreCase(names.callerService())
                || name.equalsIgnoreCase(names.expectedUpstream())
                || name.equalsIgnoreCase(names.deadlineMillis());
        return !setHere && ForwardedHeaders.forwarded(name, request.headers());
    }

    private static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }

    private void answer(Entry entry, CallAnswer outcome, Consumer<CallAnswer> answered) {
        if (Refusals.notRun(outcome)) {
            entry.token()
                    .ifPresent(token -> limits.returnToken(
                            entry.organisation().orElseThrow().id(), token));
        }
        CallAnswer answer = forCaller(entry, outcome);
        metrics.answered(answer, clock.millis() - entry.request().receivedMillis());
        log.answered(
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
    private CallAnswer forCaller(Entry entry, CallAnswer outcome) {
        if (!Refusals.isRefusal(outcome)) {
            return saysNotRun(outcome.getStatus())
                    ? Refusals.refusal(ErrorKind.OUTCOME_UNKNOWN, "the upstream answered " + outcome.getStatus())
                    : outcome;
        }
        CallAnswer.Builder answer = outcome.toBuilder();
        if (Refusals.notRun(outcome) && outcome.getStatus() >= 500) {
            answer.setStatus(ErrorKind.OVERLOADED.status());
            if (outcome.getRetryAfterMillis() == 0) {
                answer.setRetryAfterMillis((int) random.nextLong(OVERLOAD_RETRY_MILLIS, 2 * OVERLOAD_RETRY_MILLIS));
            }
        }
        if (!entry.id().isEmpty()) {
            answer.addHeaders(header(names.requestId(), entry.id()));
        }
        return answer.build();
    }

    private static boolean saysNotRun(int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }
}
