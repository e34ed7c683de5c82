package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.core.routing.RoutingConfig;

class KnowledgeTest {
    private long steady = 10_000;
    private long wall = 1_000_000;
    private final Knowledge knowledge = new Knowledge(() -> steady, () -> wall);

    @Test
    void aConfigurationAgesFromTheTimeAtWhichItsReadWasSent() {
        Knowledge.Moment sent = knowledge.now();
        pass(300);
        knowledge.learn(version(4), new byte[0], sent);

        assertThat(knowledge.ageMillis()).isEqualTo(300);
    }

    @Test
    void anOlderVersionNeverReplacesANewerOne() {
        knowledge.learn(version(4), new byte[0], knowledge.now());
        assertThat(knowledge.learn(version(3), new byte[0], knowledge.now())).isFalse();

        assertThat(knowledge.version()).isEqualTo(4);
    }

    @Test
    void newsOfAnOlderVersionDoesNotMakeTheNewerOneYounger() {
        knowledge.learn(version(4), new byte[0], knowledge.now());
        pass(2_000);
        knowledge.confirm(3, knowledge.now());
        assertThat(knowledge.ageMillis()).isEqualTo(2_000);
        knowledge.confirm(4, knowledge.now().minus(50));

        assertThat(knowledge.ageMillis()).isEqualTo(50);
    }

    @Test
    void theAgeCountsTheTimeForWhichTheHostWasSuspended() {
        knowledge.learn(version(4), new byte[0], knowledge.now());
        steady += 10;
        wall += 6_000;

        assertThat(knowledge.ageMillis()).isEqualTo(6_000);
    }

    @Test
    void aTimeOfDayThatIsSetBackDoesNotHideTheAge() {
        knowledge.learn(version(4), new byte[0], knowledge.now());
        steady += 5_000;
        wall -= 2_000;

        assertThat(knowledge.ageMillis()).isEqualTo(5_000);
    }

    @Test
    void withoutAConfigurationTheAgeIsBeyondAnyBound() {
        assertThat(knowledge.ageMillis()).isEqualTo(Integer.MAX_VALUE);
    }

    private void pass(long millis) {
        steady += millis;
        wall += millis;
    }

    private static RoutingConfig version(long number) {
        return new RoutingConfig(number, CallerLimits.DEFAULT, List.of(), List.of());
    }
}
