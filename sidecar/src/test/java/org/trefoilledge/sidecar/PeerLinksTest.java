package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Envelope;

class PeerLinksTest {
    /** Guards against an invalid status that an upstream has sent, passed on by a sidecar of an earlier version. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20, 101, 199, 600, 1_000})
    void answerWithoutAFinalStatusCountsAsLost(int status) {
        PeerLinks.Reply reply = PeerLinks.toReply(envelope(status), null);

        assertThat(reply.answer()).isNull();
        assertThat(reply.sent()).isTrue();
    }

    @Test
    void answerWithAFinalStatusIsDelivered() {
        assertThat(PeerLinks.toReply(envelope(200), null).answer().getStatus()).isEqualTo(200);
        assertThat(PeerLinks.toReply(envelope(599), null).answer().getStatus()).isEqualTo(599);
    }

    private static Envelope envelope(int status) {
        return Envelope.newBuilder()
                .setCallAnswer(CallAnswer.newBuilder().setStatus(status))
                .build();
    }
}
