package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

class MemberTest {
    @Test
    void entryOfAColdUpstreamIsRead() throws IOException {
        Member cold = member(true);

        assertThat(Member.parse(cold.toJson())).isEqualTo(cold);
        assertThat(cold.toCandidate().cold()).isTrue();
    }

    /** Guards against entries that differ from those of earlier versions in deployments without cold upstreams. */
    @Test
    void entryDoesNotMentionColdUnlessItIs() throws IOException {
        Member warm = member(false);

        assertThat(new String(warm.toJson(), StandardCharsets.UTF_8)).doesNotContain("cold");
        assertThat(Member.parse(warm.toJson())).isEqualTo(warm);
    }

    private static Member member(boolean cold) {
        return new Member(
                new HostId("h-1"),
                new ZoneId("a"),
                "127.0.0.1:1",
                new Incarnation(1),
                new ServiceId("orders"),
                "i-1",
                10,
                true,
                cold);
    }
}
