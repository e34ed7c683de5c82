package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReloadSignalTest {
    @Test
    void sighupRunsActionInsteadOfEndingProcess() throws Exception {
        CountDownLatch reloaded = new CountDownLatch(1);
        ReloadSignal.install(reloaded::countDown);
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        signalClass
                .getMethod("raise", signalClass)
                .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"));

        assertThat(reloaded.await(2, TimeUnit.SECONDS)).isTrue();
    }
}
