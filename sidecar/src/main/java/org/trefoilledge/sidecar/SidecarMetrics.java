package org.trefoilledge.sidecar;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.DoubleSupplier;
import org.trefoilledge.wire.generated.CallAnswer;

/** Counters and latencies of a sidecar, as text for the metrics address. Thread-safe. */
final class SidecarMetrics {
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ConcurrentMap<String, Counter> answersByOutcome = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Counter> storeCallsByOutcome = new ConcurrentHashMap<>();
    private final Timer latency = Timer.builder("trefoilledge.answer.time")
            .description("Time from the last byte of a request to its answer")
            .serviceLevelObjectives(LATENCY_BUCKETS)
            .register(registry);
    private final Counter disconnectedCallers = Counter.builder("trefoilledge.callers.left")
            .description("Requests whose caller left before the answer")
            .register(registry);

    /** Counts the answer to a caller. */
    void recordAnswer(CallAnswer answer, long tookMillis) {
        String outcome =
                Refusals.isRefusal(answer) ? answer.getRefusal() : "UPSTREAM_" + answer.getStatus() / 100 + "XX";
        answersByOutcome
                .computeIfAbsent(outcome, kind -> Counter.builder("trefoilledge.answers")
                        .description("Answers to callers by error kind, or by the status of the upstream")
                        .tag("outcome", kind)
                        .register(registry))
                .increment();
        latency.record(Duration.ofMillis(tookMillis));
    }

    void recordCallerDisconnect() {
        disconnectedCallers.increment();
    }

    /** Counts a call to the platform's store. */
    void recordStoreCall(String operation, boolean succeeded) {
        String outcome = succeeded ? "ok" : "failed";
        storeCallsByOutcome
                .computeIfAbsent(operation + '/' + outcome, key -> Counter.builder("trefoilledge.store.calls")
                        .description("Calls to the platform's store")
                        .tag("operation", operation)
                        .tag("outcome", outcome)
                        .register(registry))
                .increment();
    }

    /** Registers a figure that is read when the metrics are fetched. */
    void registerGauge(String name, String description, DoubleSupplier value) {
        io.micrometer.core.instrument.Gauge.builder(name, value::getAsDouble)
                .description(description)
                .register(registry);
    }

    String scrape() {
        return registry.scrape();
    }
}
