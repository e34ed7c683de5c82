package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class FairShareTest {
    @Test
    void unusedShareIsDividedByWeight() {
        Map<String, Double> shares =
                FairShare.divide(100, Map.of("a", 10.0, "b", 500.0, "c", 500.0), Map.of("a", 1.0, "b", 1.0, "c", 2.0));
        assertThat(shares).isEqualTo(Map.of("a", 10.0, "b", 30.0, "c", 60.0));
    }

    @Test
    void demandIsMetWhenCapacitySuffices() {
        assertThat(FairShare.divide(100, Map.of("a", 10.0, "b", 20.0), Map.of("a", 1.0, "b", 1.0)))
                .isEqualTo(Map.of("a", 10.0, "b", 20.0));
    }
}
