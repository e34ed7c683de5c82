package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against revisions and leases of a store that are used after the store was restored from a backup. */
class StoreEpochsTest {
    private final StoreEpochs epochs = new StoreEpochs();
    private int notified;

    StoreEpochsTest() {
        epochs.onRestore(() -> notified++);
    }

    @Test
    void answersWithoutAnEpochAreAccepted() {
        assertThat(epochs.accept(OptionalLong.empty(), 0, true)).isTrue();
        assertThat(epochs.current()).isEmpty();
        assertThat(notified).isZero();
    }

    @Test
    void firstEpochIsNoRestore() {
        assertThat(epochs.accept(OptionalLong.of(7), 0, true)).isTrue();
        assertThat(notified).isZero();
    }

    @Test
    void eachHigherEpochIsARestore() {
        accept(1);
        accept(2);
        accept(2);
        accept(5);

        assertThat(notified).isEqualTo(2);
        assertThat(epochs.current()).hasValue(5);
    }

    @Test
    void answerOfAnOlderEpochOnAnotherConnectionIsNotUsed() {
        accept(1);
        accept(2);

        assertThat(accept(1)).isFalse();
        assertThat(epochs.current()).hasValue(2);
        assertThat(notified).isEqualTo(1);
    }

    @Test
    void answerToACallOnARevisionOfTheEarlierEpochIsNotUsed() {
        accept(1);
        long sent = epochs.restores();

        assertThat(epochs.accept(OptionalLong.of(2), sent, true)).isFalse();
        assertThat(epochs.accept(OptionalLong.of(2), sent, true)).isFalse();
        assertThat(epochs.accept(OptionalLong.of(2), sent, false)).isTrue();
        assertThat(epochs.accept(OptionalLong.of(2), epochs.restores(), true)).isTrue();
    }

    private boolean accept(long epoch) {
        return epochs.accept(OptionalLong.of(epoch), epochs.restores(), false);
    }
}
