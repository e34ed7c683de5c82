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

/** Handles the requests of other nodes. Called on the traffic thread; reports are handled on the control thread. */
final class PeerRequestHandler implements PeerLinks.Handler {
    private final UpstreamGate gate;
    private final TokenSource tokens;
    private final ConfigState knowledge;
    private final Executor control;
    private final ReportReceiver reportReceiver;

    /** Receives the reports of nodes and zones, on the control thread, and returns the answers. */
    interface ReportReceiver {
        StatusAnswer receiveReport(PeerIdentity from, StatusReport report);

        ZoneAnswer receiveReport(PeerIdentity from, ZoneReport report);
    }

    PeerRequestHandler(
            UpstreamGate gate,
            TokenSource tokens,
            ConfigState knowledge,
            Executor control,
            ReportReceiver reportReceiver) {
        this.gate = gate;
        this.tokens = tokens;
        this.knowledge = knowledge;
        this.control = control;
        this.reportReceiver = reportReceiver;
    }

    @Override
    public Runnable handleCall(Call call, Consumer<CallAnswer> responder) {
        return gate.offer(call, responder);
    }

    @Override
    public void handleReport(PeerIdentity from, StatusReport report, Consumer<StatusAnswer> responder) {
        control.execute(() -> responder.accept(reportReceiver.receiveReport(from, report)));
    }

    @Override
    public void handleZoneReport(PeerIdentity from, ZoneReport report, Consumer<ZoneAnswer> responder) {
        control.execute(() -> responder.accept(reportReceiver.receiveReport(from, report)));
    }

    @Override
    public Optional<TokenGrant> grantTokens(TokenSource.Request request) {
        return tokens.grant(request);
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
