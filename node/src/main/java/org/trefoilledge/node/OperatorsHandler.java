package org.trefoilledge.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.config.ConfigCodec;

/** Serves metrics, status, explanations and, if enabled, the injection of faults on the operators' port. */
final class OperatorsHandler extends Handler.Abstract {
    private static final ObjectMapper JSON = ConfigCodec.json();
    private static final int LISTED_REFUSALS = 50;

    private final PrometheusMeterRegistry metrics;
    private final Supplier<Map<String, Object>> status;
    private final Decisions decisions;
    private final Consumer<Faults> faults;
    private final boolean faultsEnabled;
    private final Clock clock;

    /** Faults to inject: peers of these zones and, if asked, the store become unreachable. */
    record Faults(List<String> cutZones, boolean cutStore) {}

    OperatorsHandler(
            PrometheusMeterRegistry metrics,
            Supplier<Map<String, Object>> status,
            Decisions decisions,
            Consumer<Faults> faults,
            boolean faultsEnabled,
            Clock clock) {
        this.metrics = metrics;
        this.status = status;
        this.decisions = decisions;
        this.faults = faults;
        this.faultsEnabled = faultsEnabled;
        this.clock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        switch (request.getHttpURI().getPath()) {
            case "/metrics" -> answer(response, callback, 200, "text/plain; version=0.0.4", metrics.scrape());
            case "/status" -> json(response, callback, status.get());
            case "/explain" -> json(response, callback, explain(Request.extractQueryParameters(request)));
            case "/fault" -> fault(request, response, callback);
            default -> answer(response, callback, 404, "text/plain", "see /metrics, /status and /explain\n");
        }
        return true;
    }

    private List<Map<String, Object>> explain(Fields query) {
        String id = query.getValue("request");
        List<Decisions.Refused> found = id == null ? decisions.last(LISTED_REFUSALS) : decisions.of(id);
        List<Map<String, Object>> list = new ArrayList<>();
        for (Decisions.Refused refused : found) {
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("request", refused.request());
            item.put("atMillisAgo", clock.millis() - refused.atMillis());
            item.put("organisation", refused.organisation());
            item.put("route", refused.route());
            item.put("kind", refused.kind().name());
            item.put("stage", refused.stage());
            item.put("reason", refused.reason());
            list.add(item);
        }
        return list;
    }

    private void fault(Request request, Response response, Callback callback) throws IOException {
        if (!faultsEnabled || !request.getMethod().equals("PUT")) {
            answer(response, callback, 403, "text/plain", "set [faults] enabled = true and use PUT\n");
            return;
        }
        JsonNode body = JSON.readTree(Content.Source.asString(request));
        List<String> zones = new ArrayList<>();
        body.path("cutZones").forEach(zone -> zones.add(zone.asText()));
        faults.accept(new Faults(zones, body.path("cutStore").asBoolean(false)));
        answer(response, callback, 200, "text/plain", "done\n");
    }

    private static void json(Response response, Callback callback, Object value) throws IOException {
        answer(response, callback, 200, "application/json", JSON.writeValueAsString(value) + "\n");
    }

    private static void answer(Response response, Callback callback, int status, String type, String body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
        Content.Sink.write(response, true, body, callback);
    }
}
