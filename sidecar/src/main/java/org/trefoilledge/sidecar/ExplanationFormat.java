package org.trefoilledge.sidecar;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.trefoilledge.core.placement.PlacementExplanation;
import org.trefoilledge.core.placement.UpstreamFigures;

/** Writes explanations as JSON and as text for people. */
final class ExplanationFormat {
    private static final JsonMapper JSON = new JsonMapper();
    private static final double PERCENT = 100;

    private ExplanationFormat() {}

    /** Returns the JSON form. Times are in milliseconds, except expected times, which are in mean service times. */
    static ObjectNode toJson(Explanation explanation) {
        ObjectNode root = JSON.createObjectNode();
        root.put("verdict", verdict(explanation));
        explanation.refusal().ifPresent(refusal -> {
            root.putObject("refusal").put("kind", refusal.kind()).put("reason", refusal.reason());
        });
        root.put("configVersion", explanation.configVersion());
        root.put("route", explanation.route());
        root.put("organisation", explanation.organisation());
        root.put("rank", explanation.rank());
        root.put("nested", explanation.nested());
        explanation.plan().ifPresent(plan -> root.putObject("plan")
                .put("admittedFraction", plan.fraction())
                .put("nextAdmitted", plan.nextAdmitted())
                .put("limitedByRetries", plan.limitedByRetries()));
        explanation.tokens().ifPresent(tokens -> root.putObject("limit")
                .put("tokens", tokens.tokens())
                .put("waiting", tokens.waiting())
                .put("refusedMillis", tokens.refusedMillis()));
        var destinations = root.putArray("destinations");
        for (Explanation.Destination destination : explanation.destinations()) {
            ObjectNode node = destinations.addObject();
            node.put("service", destination.service()).put("share", destination.share());
            var candidates = node.putArray("candidates");
            destination.placement().entries().forEach(entry -> addCandidate(candidates.addObject(), entry));
        }
        return root;
    }

    private static void addCandidate(ObjectNode node, PlacementExplanation.Entry entry) {
        UpstreamFigures figures = entry.figures();
        node.put("host", figures.host().value())
                .put("zone", figures.zone().value())
                .put("inFlight", figures.inFlight())
                .put("estimatedInFlight", figures.estimatedInFlight())
                .put("limit", figures.limit())
                .put("load", figures.load())
                .put("expectedTime", figures.expectedTime())
                .put("relativeTime", figures.relativeTime())
                .put("failureRate", figures.failureRate())
                .put("ejectedMillis", figures.ejectedMillis())
                .put("silent", figures.silent())
                .put("backedOff", figures.backedOff())
                .put("eligible", entry.passedOver().isEmpty());
        entry.passedOver()
                .ifPresent(reason -> node.put("passedOver", reason.name()).put("reason", reason.text()));
    }

    /** Returns the text form. */
    static String toText(Explanation explanation) {
        StringBuilder text = new StringBuilder();
        addLine(text, "%s", verdict(explanation));
        addLine(text, "configuration  version %d", explanation.configVersion());
        addLine(text, "route          %s", explanation.route());
        addLine(text, "organisation   %s", explanation.organisation().isEmpty() ? "none" : explanation.organisation());
        addLine(text, "rank           %d", explanation.rank());
        addLine(text, "plan           %s", plan(explanation));
        addLine(text, "rate limit     %s", limit(explanation));
        for (Explanation.Destination destination : explanation.destinations()) {
            addLine(text, "service        %s, %.1f %%", destination.service(), destination.share() * PERCENT);
            if (destination.placement().entries().isEmpty()) {
                addLine(text, "  no upstream is known");
            }
            destination.placement().entries().forEach(entry -> addCandidate(text, entry));
        }
        return text.toString();
    }

    private static void addCandidate(StringBuilder text, PlacementExplanation.Entry entry) {
        UpstreamFigures figures = entry.figures();
        addLine(
                text,
                "  %s %s (zone %s): %d in flight from here, %.1f of %.1f in all, load %.2f, expected time %.2f, failures"
                        + " %.1f %%%s%s%s",
                entry.passedOver().isEmpty() ? "+" : "-",
                figures.host(),
                figures.zone(),
                figures.inFlight(),
                figures.estimatedInFlight(),
                figures.limit(),
                figures.load(),
                figures.expectedTime(),
                figures.failureRate() * PERCENT,
                figures.isEjected() ? ", ejected for " + figures.ejectedMillis() + " ms" : "",
                figures.silent() ? ", silent" : "",
                figures.backedOff() ? ", backed off" : "");
        entry.passedOver().ifPresent(reason -> addLine(text, "      passed over: %s", reason.text()));
    }

    private static String verdict(Explanation explanation) {
        if (explanation.refusal().isPresent()) {
            Explanation.Refusal refusal = explanation.refusal().get();
            return "refused: " + refusal.kind() + ", " + refusal.reason();
        }
        long upstreams = explanation.destinations().stream()
                .mapToLong(destination -> destination.placement().choice().size())
                .sum();
        String target =
                upstreams == 1 ? "the one upstream marked +" : "one of the " + upstreams + " upstreams marked +";
        return (explanation.waitsForToken() ? "waits for a token of its organisation's limit, then is sent" : "sent")
                + " to " + target;
    }

    private static String plan(Explanation explanation) {
        if (explanation.plan().isEmpty()) {
            return "does not apply";
        }
        var plan = explanation.plan().get();
        return String.format(
                Locale.ROOT,
                "admits %.1f %% of the class%s, %s the next request",
                plan.fraction() * PERCENT,
                plan.limitedByRetries() ? " (retries are scarce)" : "",
                plan.nextAdmitted() ? "admits" : "refuses");
    }

    private static String limit(Explanation explanation) {
        return explanation
                .tokens()
                .map(view -> view.tokens() + " tokens held by this node, " + view.waiting() + " requests waiting"
                        + (view.refusedMillis() > 0 ? ", refused for " + view.refusedMillis() + " ms" : ""))
                .orElse("none");
    }

    private static void addLine(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }
}
