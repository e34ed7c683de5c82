package org.trefoilledge.node;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RequestId;
import org.trefoilledge.core.authority.PeerMessage;
import org.trefoilledge.core.authority.ZoneRecord;
import org.trefoilledge.core.idempotency.KeptOutcome;
import org.trefoilledge.core.idempotency.Outcome;
import org.trefoilledge.core.idempotency.ShardTable;
import org.trefoilledge.wire.generated.AdoptAnswer;
import org.trefoilledge.wire.generated.AdoptRequest;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.HandOver;
import org.trefoilledge.wire.generated.Header;
import org.trefoilledge.wire.generated.PromiseAnswer;
import org.trefoilledge.wire.generated.PromiseRequest;

/** Converts the messages of the authority protocol. */
final class AuthorityMessages {
    private AuthorityMessages() {}

    static PromiseRequest message(PeerMessage.PromiseRequest request) {
        return PromiseRequest.newBuilder()
                .setRecordVersion(request.version())
                .setIncarnation(request.incarnation().value())
                .build();
    }

    static PeerMessage.PromiseRequest request(PromiseRequest message) {
        return new PeerMessage.PromiseRequest(message.getRecordVersion(), new Incarnation(message.getIncarnation()));
    }

    static PromiseAnswer message(PeerMessage.PromiseAnswer answer) {
        PromiseAnswer.Builder message = PromiseAnswer.newBuilder()
                .setGranted(answer.granted())
                .setIncarnation(answer.incarnation().value())
                .setRecordVersion(answer.version());
        answer.record().ifPresent(record -> message.setRecord(encode(record)));
        return message.build();
    }

    static PeerMessage.PromiseAnswer answer(PromiseAnswer message) {
        return new PeerMessage.PromiseAnswer(
                message.getGranted(),
                new Incarnation(message.getIncarnation()),
                message.getRecordVersion(),
                decode(message.getRecord()));
    }

    static AdoptRequest message(PeerMessage.AdoptRequest request) {
        return AdoptRequest.newBuilder()
                .setRecord(encode(request.record()))
                .setSubject(request.subject().map(HostId::value).orElse(""))
                .setConfirm(request.confirm())
                .build();
    }

    static PeerMessage.AdoptRequest request(AdoptRequest message) {
        Optional<HostId> subject =
                message.getSubject().isEmpty() ? Optional.empty() : Optional.of(new HostId(message.getSubject()));
        return new PeerMessage.AdoptRequest(
                decode(message.getRecord()).orElseThrow(() -> new IllegalArgumentException("no record to adopt")),
                subject,
                message.getConfirm());
    }

    static AdoptAnswer message(PeerMessage.AdoptAnswer answer) {
        return AdoptAnswer.newBuilder()
                .setAdopted(answer.adopted())
                .setIncarnation(answer.incarnation().value())
                .setPromiseRunning(answer.promiseRunning())
                .setRecordVersion(answer.version())
                .build();
    }

    static PeerMessage.AdoptAnswer answer(AdoptAnswer message) {
        return new PeerMessage.AdoptAnswer(
                message.getAdopted(),
                new Incarnation(message.getIncarnation()),
                message.getPromiseRunning(),
                message.getRecordVersion());
    }

    static ByteString encode(ZoneRecord record) {
        return ByteString.copyFromUtf8(record.encode());
    }

    static Optional<ZoneRecord> decode(ByteString bytes) {
        return bytes.isEmpty() ? Optional.empty() : Optional.of(ZoneRecord.decode(bytes.toStringUtf8()));
    }

    static HandOver message(ShardTable part, long version) {
        HandOver.Builder message =
                HandOver.newBuilder().setShard(part.shard()).setVersion(version).setLast(part.last());
        part.gap()
                .ifPresent(gap ->
                        message.setGap(true).setGapAgeMillis(gap.ageMillis()).setGapWallMillis(gap.wallMillis()));
        part.outcomes().forEach(kept -> message.addOutcomes(message(kept)));
        return message.build();
    }

    static ShardTable table(HandOver message) {
        Optional<ShardTable.Gap> gap = message.getGap()
                ? Optional.of(new ShardTable.Gap(message.getGapAgeMillis(), message.getGapWallMillis()))
                : Optional.empty();
        List<KeptOutcome> outcomes = new ArrayList<>();
        message.getOutcomesList().forEach(kept -> outcomes.add(outcome(kept)));
        return new ShardTable(message.getShard(), outcomes, gap, message.getLast());
    }

    private static org.trefoilledge.wire.generated.KeptOutcome message(KeptOutcome kept) {
        CallAnswer.Builder answer = CallAnswer.newBuilder()
                .setStatus(kept.outcome().status())
                .setBody(ByteString.copyFrom(kept.outcome().body()));
        kept.outcome()
                .headers()
                .forEach(h ->
                        answer.addHeaders(Header.newBuilder().setName(h.name()).setValue(h.value())));
        return org.trefoilledge.wire.generated.KeptOutcome.newBuilder()
                .setOrganisation(kept.id().organisation().value())
                .setKey(kept.id().key())
                .setBodyDigest(kept.bodyDigest())
                .setState(kept.outcome().kind().name())
                .setAnswer(answer)
                .setAgeMillis(kept.ageMillis())
                .build();
    }

    private static KeptOutcome outcome(org.trefoilledge.wire.generated.KeptOutcome kept) {
        RequestId id = new RequestId(new OrganisationId(kept.getOrganisation()), kept.getKey());
        return new KeptOutcome(
                id, kept.getBodyDigest(), outcome(kept.getState(), kept.getAnswer()), kept.getAgeMillis());
    }

    private static Outcome outcome(String state, CallAnswer answer) {
        return switch (Outcome.Kind.valueOf(state)) {
            case ANSWERED ->
                Outcome.answered(
                        answer.getStatus(),
                        answer.getHeadersList().stream()
                                .map(h -> new Outcome.Header(h.getName(), h.getValue()))
                                .toList(),
                        answer.getBody().toByteArray());
            case NOT_KEPT -> Outcome.notKept(answer.getStatus());
            case UNKNOWN -> Outcome.unknown();
        };
    }
}
