package org.trefoilledge.node;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RequestId;
import org.trefoilledge.core.config.KeyDigest;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Header;

/** Converts between the exchanges of the request path and the messages between nodes. */
final class CallMessages {
    /** Bytes of the key digest that travel with a call; enough to tell keys apart, too few to be a key. */
    private static final int DIGEST_BYTES = 16;

    private CallMessages() {}

    static Call.Builder call(Exchange exchange, int budget, long now) {
        Call.Builder call = Call.newBuilder()
                .setRoute(exchange.route().id().value())
                .setService(exchange.route().service().value())
                .setOrganisation(exchange.organisation().value())
                .setImportance(exchange.importance().number())
                .setRootHash(exchange.rootHash())
                .setDeadlineMillis((int) Math.max(0, exchange.deadlineMillis() - now))
                .setAttemptBudget(budget)
                .setDepth(exchange.depth())
                .setIdempotent(exchange.route().idempotent())
                .setMethod(exchange.method())
                .setTarget(exchange.target())
                .setBody(UnsafeByteOperations.unsafeWrap(exchange.body()));
        exchange.headers()
                .forEach(h ->
                        call.addHeaders(Header.newBuilder().setName(h.name()).setValue(h.value())));
        exchange.key().ifPresent(key -> call.setKeyDigest(abbreviated(key)));
        exchange.requestId().ifPresent(id -> call.setIdempotencyKey(id.key()));
        return call;
    }

    /** Rebuilds the exchange that an entry node sent to an arbiter. */
    static Exchange exchange(Call call, Snapshot snapshot, long now) {
        Exchange exchange = new Exchange(
                call.getMethod(),
                call.getTarget(),
                headers(call.getHeadersList()),
                call.getBody().toByteArray(),
                Optional.empty(),
                now);
        exchange.snapshot(snapshot);
        exchange.organisation(new OrganisationId(call.getOrganisation()));
        exchange.importance(importance(call));
        exchange.rootHash(call.getRootHash());
        exchange.depth(call.getDepth());
        exchange.deadlineMillis(now + call.getDeadlineMillis());
        exchange.budget().set(call.getAttemptBudget());
        exchange.key(key(call, snapshot));
        if (!call.getIdempotencyKey().isEmpty()) {
            exchange.requestId(new RequestId(exchange.organisation(), call.getIdempotencyKey()));
        }
        return exchange;
    }

    static Importance importance(Call call) {
        return Importance.of(call.getImportance());
    }

    /** Returns whether the key of a call is still granted to its organisation; calls of open routes have none. */
    static boolean stillGranted(Call call, Snapshot snapshot) {
        return call.getKeyDigest().isEmpty() || key(call, snapshot).isPresent();
    }

    /** Returns the granted key that a call was admitted with, empty if it has none or if it was withdrawn. */
    static Optional<KeyDigest> key(Call call, Snapshot snapshot) {
        var found = snapshot.inventory().organisations().get(new OrganisationId(call.getOrganisation()));
        if (found == null || call.getKeyDigest().isEmpty()) {
            return Optional.empty();
        }
        return found.keys().stream()
                .filter(key -> abbreviated(key).equals(call.getKeyDigest()))
                .findFirst();
    }

    private static ByteString abbreviated(KeyDigest key) {
        return ByteString.copyFrom(HexFormat.of().parseHex(key.hex()), 0, DIGEST_BYTES);
    }

    static CallAnswer.Builder answer(Answer answer) {
        CallAnswer.Builder message = CallAnswer.newBuilder()
                .setStatus(answer.status())
                .setBody(UnsafeByteOperations.unsafeWrap(answer.body().bytes()))
                .setUnusedBudget(answer.unusedBudget())
                .setAdmissionLevel(answer.admissionLevel())
                .setUpstream(answer.upstream());
        answer.headers()
                .forEach(h ->
                        message.addHeaders(Header.newBuilder().setName(h.name()).setValue(h.value())));
        answer.refusal().ifPresent(refusal -> message.setRefusal(refusal.kind().name())
                .setRefusalReason(refusal.reason())
                .setRetryAfterMillis((int) refusal.retryAfterMillis()));
        return message;
    }

    static Answer answer(CallAnswer message) {
        if (!message.getRefusal().isEmpty()) {
            return Answer.refused(
                            ErrorKind.valueOf(message.getRefusal()),
                            message.getRetryAfterMillis(),
                            message.getRefusalReason())
                    .withBudget(message.getUnusedBudget())
                    .withAdmissionLevel(message.getAdmissionLevel());
        }
        return Answer.response(
                        message.getStatus(),
                        headers(message.getHeadersList()),
                        message.getBody().toByteArray(),
                        message.getUpstream())
                .withBudget(message.getUnusedBudget())
                .withAdmissionLevel(message.getAdmissionLevel());
    }

    static void report(CallAnswer.Builder message, LoadReport report) {
        message.setInFlight(report.inFlight())
                .setLimit(report.limit())
                .setQueueDelayMillis((int) report.queueDelayMillis())
                .setAdmissionLevel(Math.max(message.getAdmissionLevel(), report.admissionLevel()));
    }

    static LoadReport report(CallAnswer message) {
        return new LoadReport(
                message.getInFlight(), message.getLimit(), message.getQueueDelayMillis(), message.getAdmissionLevel());
    }

    private static List<Answer.Header> headers(List<Header> headers) {
        return headers.stream()
                .map(h -> new Answer.Header(h.getName(), h.getValue()))
                .toList();
    }
}
