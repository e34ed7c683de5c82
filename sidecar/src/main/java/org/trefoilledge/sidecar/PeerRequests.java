package org.trefoilledge.sidecar;

import com.google.protobuf.UnsafeByteOperations;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.ConfigDocument;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;
import org.trefoilledge.wire.generated.ZoneAnswer;
import org.trefoilledge.wire.generated.ZoneReport;

/** What other nodes ask of this one. Called on the traffic thread; reports are handled on the control thread. */
final class PeerRequests implements PeerLinks.Handler {
    private final Gate gate;
    private final TokenSource tokens;
    private final Knowledge knowledge;
    private final Executor control;
    private final Collector collector;

    /** Takes the reports of nodes and zones, on the control thread. */
    interface Collector {
        StatusAnswer heard(PeerIdentity from, StatusReport report);

        ZoneAnswer heard(PeerIdentity from, ZoneReport report);
    }

    PeerRequests(Gate gate, TokenSource tokens, Knowledge knowledge, Executor control, Collector collector) {
        this.gate = gate;
        this.tokens = tokens;
        this.knowledge = knowledge;
        this.control = control;
        this.collector = collector;
    }

    @Override
    public Runnable call(Call call, Consumer<CallAnswer> answered) {
        return gate.offer(call, answered);
    }

    @Override
    public void report(PeerIdentity from, StatusReport report, Consumer<StatusAnswer> answered) {
        control.execute(() -> answered.accept(collector.heard(from, report)));
    }

    @Override
    public void zoneReport(PeerIdentity from, ZoneReport report, Consumer<ZoneAnswer> answered) {
        control.execute(() -> answered.accept(collector.heard(from, report)));
    }

    @Override
    public Optional<TokenGrant> giveTokens(TokenSource.Question question) {
        return tokens.give(question);
    }

    @Override
    public ConfigDocument config() {
        return ConfigDocument.newBuilder()
                .setVersion(knowledge.version())
                .setDocument(UnsafeByteOperations.unsafeWrap(knowledge.document()))
                .setAgeMillis((int) knowledge.ageMillis())
                .build();
    }
}
