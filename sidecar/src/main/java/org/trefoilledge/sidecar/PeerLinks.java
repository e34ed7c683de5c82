package org.trefoilledge.sidecar;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.rate.RateClaim;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.wire.PeerException;
import org.trefoilledge.wire.PeerHandler;
import org.trefoilledge.wire.PeerIdentity;
import org.trefoilledge.wire.PeerTransport;
import org.trefoilledge.wire.TransportSettings;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Cancel;
import org.trefoilledge.wire.generated.ConfigDocument;
import org.trefoilledge.wire.generated.ConfigQuery;
import org.trefoilledge.wire.generated.Envelope;
import org.trefoilledge.wire.generated.StatusAnswer;
import org.trefoilledge.wire.generated.StatusReport;
import org.trefoilledge.wire.generated.TokenRequest;
import org.trefoilledge.wire.generated.ZoneAnswer;
import org.trefoilledge.wire.generated.ZoneReport;

/** Sends requests to other sidecars and serves theirs. Handlers run on the traffic thread. */
final class PeerLinks implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 600;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    /** A connection on which requests time out and nothing arrives for this time is replaced. */
    private static final int STALL_TIMEOUT_MILLIS = 700;

    private final PeerTransport transport;
    private final Map<StreamId, Runnable> cancellations = new HashMap<>();

    private record StreamId(PeerIdentity peer, long id) {
        // The generated methods of a record are slow until the code is compiled by the JIT.
        @Override
        public boolean equals(Object other) {
            return other instanceof StreamId that && that.id == id && that.peer.equals(peer);
        }

        @Override
        public int hashCode() {
            return 31 * peer.hashCode() + Long.hashCode(id);
        }
    }

    /** Handles requests of other sidecars. */
    interface Handler {
        /**
         * Handles a call.
         *
         * @return cancels the call
         */
        Runnable handleCall(Call call, Consumer<CallAnswer> responder);

        /** Handles the report of a node; the responder may be called on any thread. */
        void handleReport(PeerIdentity from, StatusReport report, Consumer<StatusAnswer> responder);

        /** Handles the report of a zone; the responder may be called on any thread. */
        void handleZoneReport(PeerIdentity from, ZoneReport report, Consumer<ZoneAnswer> responder);

        /** Grants tokens of a claim; empty unless this node certainly holds the claim. */
        Optional<TokenGrant> grantTokens(TokenSource.Request request);

        /** Returns the newest configuration that this node has. */
        ConfigDocument config();
    }

    PeerLinks(PeerIdentity self, String listen, Handler handler, EventLoopGroup traffic) throws IOException {
        TransportSettings settings = TransportSettings.of(listen)
                .withTimeouts(CONNECT_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS, STALL_TIMEOUT_MILLIS);
        transport = new PeerTransport(self, new IncomingRequests(handler), settings, traffic);
    }

    /**
     * The result of a call to a peer.
     *
     * @param answer the peer's answer, null if none arrived
     * @param sent whether the call may have reached the peer
     */
    record Reply(CallAnswer answer, boolean sent) {}

    /**
     * Sends a call to a peer. The call has no timeout of its own: the sender cancels it at its deadline.
     *
     * @return cancels the call at the peer
     */
    Runnable sendCall(String address, Call call, Consumer<Reply> onReply) {
        Envelope request = Envelope.newBuilder().setCall(call).build();
        CompletableFuture<Envelope> answer = transport.sendRequest(address, request);
        var unused = answer.whenComplete((envelope, error) -> onReply.accept(toReply(envelope, error)));
        return () -> transport.cancel(answer);
    }

    CompletableFuture<StatusAnswer> sendReport(String address, StatusReport report, long timeoutMillis) {
        Envelope request = Envelope.newBuilder().setStatusReport(report).build();
        return transport.sendRequest(address, request, timeoutMillis).thenApply(Envelope::getStatusAnswer);
    }

    CompletableFuture<ZoneAnswer> sendZoneReport(String address, ZoneReport report, long timeoutMillis) {
        Envelope request = Envelope.newBuilder().setZoneReport(report).build();
        return transport.sendRequest(address, request, timeoutMillis).thenApply(Envelope::getZoneAnswer);
    }

    CompletableFuture<ConfigDocument> fetchConfig(String address, long timeoutMillis) {
        Envelope request = Envelope.newBuilder()
                .setConfigQuery(ConfigQuery.getDefaultInstance())
                .build();
        return transport.sendRequest(address, request, timeoutMillis).thenApply(Envelope::getConfigDocument);
    }

    /** Requests tokens from a peer; the future completes empty if the peer does not hold the claim. */
    CompletableFuture<Optional<TokenGrant>> requestTokens(
            String address, TokenSource.Request tokens, long timeoutMillis) {
        Envelope request = Envelope.newBuilder()
                .setTokenRequest(TokenRequest.newBuilder()
                        .setOrganisation(tokens.organisation().value())
                        .setNeeded(tokens.needed())
                        .setAhead(tokens.ahead())
                        .setClaim(tokens.claim().name()))
                .build();
        return transport.sendRequest(address, request, timeoutMillis).thenApply(envelope -> {
            var grant = envelope.getTokenGrant();
            return grant.getHeld()
                    ? Optional.of(new TokenGrant(grant.getTokens(), grant.getRetryAfterMillis()))
                    : Optional.empty();
        });
    }

    /** An answer without the status of a final response, as a sidecar of an earlier version can send, is none. */
    static Reply toReply(Envelope envelope, Throwable error) {
        if (error == null
                && envelope.hasCallAnswer()
                && Refusals.isFinalStatus(envelope.getCallAnswer().getStatus())) {
            return new Reply(envelope.getCallAnswer(), true);
        }
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        boolean sent = !(cause instanceof PeerException failure) || failure.maybeSent();
        return new Reply(null, sent);
    }

    /** Returns whether answers to other sidecars have not been handed to the operating system yet. */
    boolean hasUnwrittenAnswers() {
        return transport.hasUnwrittenResponses();
    }

    @Override
    public void close() {
        transport.close();
    }

    private final class IncomingRequests implements PeerHandler {
        private final Handler handler;

        IncomingRequests(Handler handler) {
            this.handler = handler;
        }

        @Override
        public void handle(PeerIdentity from, Envelope request, Consumer<Envelope> responder) {
            switch (request.getMessageCase()) {
                case CALL -> handleCall(new StreamId(from, request.getStream()), request.getCall(), responder);
                case STATUS_REPORT ->
                    handler.handleReport(
                            from,
                            request.getStatusReport(),
                            answer -> responder.accept(Envelope.newBuilder()
                                    .setStatusAnswer(answer)
                                    .build()));
                case ZONE_REPORT ->
                    handler.handleZoneReport(
                            from,
                            request.getZoneReport(),
                            answer -> responder.accept(
                                    Envelope.newBuilder().setZoneAnswer(answer).build()));
                case TOKEN_REQUEST -> responder.accept(grantTokens(request.getTokenRequest()));
                case CONFIG_QUERY ->
                    responder.accept(Envelope.newBuilder()
                            .setConfigDocument(handler.config())
                            .build());
                default ->
                    responder.accept(Envelope.newBuilder()
                            .setCancel(Cancel.getDefaultInstance())
                            .build());
            }
        }

        private Envelope grantTokens(TokenRequest request) {
            var message = org.trefoilledge.wire.generated.TokenGrant.newBuilder();
            handler.grantTokens(new TokenSource.Request(
                            new RateClaim(request.getClaim()),
                            new OrganisationId(request.getOrganisation()),
                            request.getNeeded(),
                            request.getAhead()))
                    .ifPresent(grant -> message.setHeld(true)
                            .setTokens(grant.tokens())
                            .setRetryAfterMillis((int) grant.retryAfterMillis()));
            return Envelope.newBuilder().setTokenGrant(message).build();
        }

        private void handleCall(StreamId stream, Call call, Consumer<Envelope> responder) {
            // A call that is answered before handleCall returns needs no cancellation.
            boolean[] answered = new boolean[1];
            Runnable cancel = handler.handleCall(call, answer -> {
                answered[0] = true;
                cancellations.remove(stream);
                responder.accept(Envelope.newBuilder().setCallAnswer(answer).build());
            });
            if (!answered[0]) {
                cancellations.put(stream, cancel);
            }
        }

        @Override
        public void onCancelled(PeerIdentity from, long id) {
            Runnable cancel = cancellations.remove(new StreamId(from, id));
            if (cancel != null) {
                cancel.run();
            }
        }
    }
}
