package org.trefoilledge.core.rate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against an organisation that gets its rate twice because a restored store has lost a claim. */
class RestoreDelayTest {
    private static final long WAIT_MILLIS = 7_500;

    private RestoreDelay delay = new RestoreDelay(false, WAIT_MILLIS);

    @Test
    void storeWithoutEpochsCausesNoDelay() {
        delay.observe(OptionalLong.empty(), 0);
        delay.observeClaim(OptionalLong.empty());

        assertThat(delay.mayAcquire(0)).isTrue();
    }

    @Test
    void nodeThatStartsWaitsUntilNoEarlierHolderCanBeLeft() {
        delay.observe(OptionalLong.of(3), 100);

        assertThat(delay.mayAcquire(100 + WAIT_MILLIS - 1)).isFalse();
        assertThat(delay.mayAcquire(100 + WAIT_MILLIS)).isTrue();
    }

    @Test
    void eachRestoreRestartsTheDelay() {
        delay.observe(OptionalLong.of(3), 0);
        delay.observe(OptionalLong.of(4), 5_000);
        delay.observe(OptionalLong.of(4), 6_000);

        assertThat(delay.mayAcquire(WAIT_MILLIS)).isFalse();
        assertThat(delay.mayAcquire(5_000 + WAIT_MILLIS)).isTrue();
    }

    @Test
    void claimThatWasAcquiredInThisEpochShowsThatTheDelayIsOver() {
        delay.observe(OptionalLong.of(3), 0);
        delay.observeClaim(OptionalLong.of(2));
        assertThat(delay.mayAcquire(10)).isFalse();
        delay.observeClaim(OptionalLong.of(3));

        assertThat(delay.mayAcquire(10)).isTrue();
    }

    @Test
    void claimOfAnEarlierEpochShowsNothing() {
        delay.observeClaim(OptionalLong.of(3));
        delay.observe(OptionalLong.of(4), 0);

        assertThat(delay.mayAcquire(10)).isFalse();
    }

    @Test
    void firstStartOfTheFleetCausesNoDelay() {
        delay = new RestoreDelay(true, WAIT_MILLIS);
        delay.observe(OptionalLong.of(1), 0);
        delay.observeClaim(OptionalLong.of(1));

        assertThat(delay.mayAcquire(0)).isTrue();
    }

    @Test
    void restoreAfterTheFirstStartCausesADelay() {
        delay = new RestoreDelay(true, WAIT_MILLIS);
        delay.observe(OptionalLong.of(1), 0);
        delay.observe(OptionalLong.of(2), 1_000);

        assertThat(delay.mayAcquire(1_010)).isFalse();
    }

    /** A process that is started again with the settings of the first start meets claims of other nodes. */
    @Test
    void claimsFromBeforeARestoreEndTheFirstStart() {
        delay = new RestoreDelay(true, WAIT_MILLIS);
        delay.observeClaim(OptionalLong.of(1));
        delay.observe(OptionalLong.of(2), 0);

        assertThat(delay.mayAcquire(10)).isFalse();
    }
}
