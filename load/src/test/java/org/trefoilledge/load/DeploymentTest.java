package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DeploymentTest {
    /** Guards against results of another deployment that happens to use the same ports. */
    @Test
    void usedPortIsRefused(@TempDir Path directory) throws Exception {
        try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ControlClient controlClient = new ControlClient()) {
            Experiment experiment = DemoExperiment.of(
                    HomeDirectory.find(), "nilebadge", 1, used.getLocalPort(), DemoExperiment.LOAD_FACTOR);
            DeploymentSettings settings = experiment.deployment().orElseThrow();
            try (Deployment deployment = new Deployment(settings, Profile.of("default"), directory, controlClient)) {
                assertThatThrownBy(deployment::start)
                        .isInstanceOf(StartException.class)
                        .hasMessage("something already listens on 127.0.0.1:" + used.getLocalPort()
                                + "; choose another base port; logs are in " + directory);
                assertThat(deployment.processes().names("*")).isEmpty();
            }
        }
    }
}
