package org.trefoilledge.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ServiceId;

/** Serves the upstream on this host: takes its announcements and carries its own calls to other services. */
final class LocalHandler extends Handler.Abstract {
    private static final String ANNOUNCE_PATH = "/.trefoilledge/upstream";
    private static final String CONTEXT_HEADER = "Trefoilledge-Context";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final CallerHandler calls;
    private final Contexts contexts;
    private final GuardService guard;
    private final Clock clock;

    LocalHandler(CallerHandler calls, Contexts contexts, GuardService guard, Clock clock) {
        this.calls = calls;
        this.contexts = contexts;
        this.guard = guard;
        this.clock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        if (request.getHttpURI().getPath().equals(ANNOUNCE_PATH)) {
            announce(request, response, callback);
            return true;
        }
        List<String> tokens = request.getHeaders().getValuesList(CONTEXT_HEADER);
        if (tokens.size() != 1) {
            answer(response, callback, 400, "a call needs one " + CONTEXT_HEADER + " header");
            return true;
        }
        Optional<CallContext> context = contexts.find(tokens.get(0));
        if (context.isEmpty()) {
            answer(response, callback, 403, "the context is unknown, or its call has ended");
            return true;
        }
        calls.handle(request, response, callback, context);
        return true;
    }

    private void announce(Request request, Response response, Callback callback) throws IOException {
        if (!request.getMethod().equals("PUT")) {
            answer(response, callback, 405, "announce with PUT");
            return;
        }
        try {
            guard.announce(announcement(JSON.readTree(Content.Source.asString(request))));
            answer(response, callback, 200, "accepted");
        } catch (IllegalArgumentException | com.fasterxml.jackson.core.JsonProcessingException e) {
            answer(response, callback, 400, "bad announcement: " + e.getMessage());
        }
    }

    private Announcement announcement(JsonNode json) {
        String address = required(json, "address");
        PeerAddress.parse(address);
        int slots = positive(json, "slots");
        int connections = positive(json, "connections");
        Announcement.State state =
                Announcement.State.valueOf(required(json, "state").toUpperCase(Locale.ROOT));
        return new Announcement(
                new ServiceId(required(json, "service")), address, slots, connections, state, clock.millis());
    }

    private static String required(JsonNode json, String field) {
        JsonNode value = json.get(field);
        if (value == null || !value.isTextual()) {
            throw new IllegalArgumentException(field + " must be a text");
        }
        return value.asText();
    }

    private static int positive(JsonNode json, String field) {
        JsonNode value = json.get(field);
        if (value == null || !value.isInt() || value.asInt() < 1) {
            throw new IllegalArgumentException(field + " must be a positive whole number");
        }
        return value.asInt();
    }

    private static void answer(Response response, Callback callback, int status, String message) {
        response.setStatus(status);
        Content.Sink.write(response, true, message + "\n", callback);
    }
}
