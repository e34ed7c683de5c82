package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.admission.RequestClass;

/** Guards against figures that are lost between nodes. */
class LoadMessagesTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final RequestClass LISTS = new RequestClass(new RouteId("list"), 2);
    private static final RequestClass SEARCHES = new RequestClass(new RouteId("search"), 1);

    @Test
    void loadKeepsRejectionsAndRetries() {
        NodeLoad load = NodeLoad.of(ORDERS, 4, 1, 2, Map.of(LISTS, 3.0), Map.of())
                .withRejections(100.25, 55.5, Map.of(new ServiceId("deep"), 12.75));

        assertThat(LoadMessages.toLoad(LoadMessages.toMessage(load))).isEqualTo(load);
    }

    @Test
    void planKeepsWhatLimitsAClassAndWhichAreExempt() {
        AdmissionPlan plan = new AdmissionPlan(Map.of(LISTS, 0.0012, SEARCHES, 1.0), Set.of(LISTS));

        assertThat(LoadMessages.toPlan(LoadMessages.toMessage(plan))).isEqualTo(plan);
    }
}
