package org.trefoilledge.node;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.wire.generated.Call;

/** The calls that the local upstream is executing, by their unguessable tokens. */
final class Contexts {
    private static final int TOKEN_BYTES = 16;

    private final SecureRandom random = new SecureRandom();
    private final Map<String, CallContext> running = new ConcurrentHashMap<>();

    CallContext open(Call call, Snapshot snapshot, long now) {
        byte[] token = new byte[TOKEN_BYTES];
        random.nextBytes(token);
        CallContext context = new CallContext(
                HexFormat.of().formatHex(token),
                new OrganisationId(call.getOrganisation()),
                CallMessages.key(call, snapshot),
                CallMessages.importance(call),
                call.getRootHash(),
                call.getDepth(),
                now + call.getDeadlineMillis(),
                new AtomicInteger(call.getAttemptBudget()),
                new AtomicInteger());
        running.put(context.token(), context);
        return context;
    }

    Optional<CallContext> find(String token) {
        return Optional.ofNullable(running.get(token));
    }

    void close(CallContext context) {
        running.remove(context.token());
    }
}
