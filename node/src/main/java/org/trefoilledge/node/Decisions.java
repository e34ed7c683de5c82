package org.trefoilledge.node;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;

/** Counts refusals and keeps the last ones, so that operators can ask why a request was refused. */
final class Decisions {
    private static final int KEPT = 4096;

    private final Clock clock;
    private final Deque<Refused> recent = new ArrayDeque<>();
    private final Map<ErrorKind, Counter> counters = new EnumMap<>(ErrorKind.class);

    Decisions(Clock clock, MeterRegistry metrics) {
        this.clock = clock;
        for (ErrorKind kind : ErrorKind.values()) {
            counters.put(
                    kind,
                    Counter.builder("trefoilledge.refusals")
                            .tag("kind", kind.name())
                            .description("Requests refused by this node")
                            .register(metrics));
        }
    }

    /** One refusal. */
    record Refused(
            String request,
            long atMillis,
            String organisation,
            String route,
            ErrorKind kind,
            String stage,
            String reason) {}

    void refused(String stage, String organisation, String route, ErrorKind kind, String reason) {
        keep(new Refused("", clock.millis(), organisation, route, kind, stage, reason));
    }

    void refused(Exchange exchange, Answer.Refusal refusal) {
        String route = exchange.route() == null
                ? exchange.method() + " " + exchange.path()
                : exchange.route().id().value();
        counters.get(refusal.kind()).increment();
        keep(new Refused(
                exchange.id(),
                clock.millis(),
                exchange.organisation().value(),
                route,
                refusal.kind(),
                "entry",
                refusal.reason()));
    }

    List<Refused> of(String request) {
        synchronized (recent) {
            return recent.stream().filter(r -> r.request().equals(request)).toList();
        }
    }

    List<Refused> last(int count) {
        synchronized (recent) {
            List<Refused> all = new ArrayList<>(recent);
            return all.subList(Math.max(0, all.size() - count), all.size());
        }
    }

    private void keep(Refused refused) {
        synchronized (recent) {
            recent.addLast(refused);
            if (recent.size() > KEPT) {
                recent.removeFirst();
            }
        }
    }
}
