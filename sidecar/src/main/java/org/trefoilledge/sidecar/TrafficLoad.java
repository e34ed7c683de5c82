package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.trefoilledge.core.admission.NodeLoad;

/** Provides the load of the traffic thread to the reports of this node, on the control thread. */
record TrafficLoad(TrafficPlane traffic, EventLoop control) implements NodeReports.LoadSource {
    @Override
    public boolean underPressure() {
        return traffic.isUnderPressure();
    }

    @Override
    public NodeLoad nextLoad() {
        return traffic.pollLoad();
    }

    @Override
    public void sampleLoad(Consumer<NodeLoad> receiver) {
        traffic.sampleLoad(control, receiver);
    }
}
