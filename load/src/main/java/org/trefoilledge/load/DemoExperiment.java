package org.trefoilledge.load;

import java.nio.file.Path;
import org.trefoilledge.configstore.SettingsException;

/** Builds the demo experiment: all hosts of the sample, constant load and no timed actions. */
final class DemoExperiment {
    /** A tenth of the sample rates (some hundred requests a second) leaves room for everything on one machine. */
    static final double LOAD_FACTOR = 0.1;

    private static final int MAX_SECONDS = 600;

    private static final String NILEBADGE =
            """
            route = [
              {id = "pickup-lookup", path = "/pickups/{n}", importance = "critical", weight = 40},
              {id = "submit-order", method = "POST", path = "/orders", body = '{"badges":12}', importance = "critical", weight = 15, idempotency_key = true},
              {id = "read-order", path = "/orders/{n}", importance = "high", weight = 15},
              {id = "preview-badge", method = "POST", path = "/previews", body = '{"text":"Hello"}', weight = 10},
              {id = "courier-position", path = "/couriers/{n}", weight = 8},
              {id = "book-courier", method = "POST", path = "/couriers", body = '{"to":"Zamalek"}', importance = "high", weight = 2, idempotency_key = true},
              {id = "order-history", path = "/history/{n}", importance = "low", weight = 5},
              {id = "public-status", path = "/status", importance = "low", weight = 5},
            ]
            """;

    private static final String NILEBADGE_CALLS =
            """
            [[deployment.upstream]]
            service = "pickup-lookup"
            calls = ["GET /internal/stock/{n}"]
            """;

    private static final String HANEUL =
            """
            route = [
              {id = "route-sheet", path = "/route-sheets/{n}", importance = "critical", weight = 25},
              {id = "log-shift", method = "POST", path = "/shifts", body = '{"hours":4}', importance = "critical", weight = 15, idempotency_key = true},
              {id = "supply-list", path = "/supplies/{n}", importance = "high", weight = 15},
              {id = "request-restock", method = "POST", path = "/restocks", body = '{"soap":3}', importance = "high", weight = 5, idempotency_key = true},
              {id = "report-restroom", method = "PUT", path = "/restrooms/{n}", body = '{"clean":true}', weight = 10},
              {id = "read-shifts", path = "/shifts/{n}", weight = 10},
              {id = "restroom-history", path = "/history/{n}", importance = "low", weight = 5},
              {id = "public-status", path = "/status/{n}", importance = "low", weight = 15},
            ]
            """;

    private static final String HANEUL_CALLS =
            """
            [[deployment.upstream]]
            service = "route-planning"
            calls = ["GET /internal/supplies/{n}"]
            """;

    private DemoExperiment() {}

    /**
     * Builds the experiment.
     *
     * @throws IllegalArgumentException if the deployment is unknown or a number is out of range
     */
    static Experiment of(Path home, String deployment, int seconds, int basePort, double loadFactor)
            throws SettingsException {
        if (!deployment.equals("nilebadge") && !deployment.equals("haneul")) {
            throw new IllegalArgumentException("--deployment: expected nilebadge or haneul, but found: " + deployment);
        }
        if (seconds < 1 || seconds > MAX_SECONDS) {
            throw new IllegalArgumentException(
                    "--seconds: expected a number from 1 to " + MAX_SECONDS + ", but found: " + seconds);
        }
        String text = "name = \"demo-" + deployment + "\"\n"
                + "duration_s = " + seconds + "\n"
                + (deployment.equals("nilebadge") ? NILEBADGE : HANEUL)
                + "[callers]\nload_factor = " + loadFactor + "\n"
                + "[retry]\nattempts = 2\n"
                + "[deployment]\n"
                + "hosts = \"samples/" + deployment + "-hosts.toml\"\n"
                + "inventory = \"samples/" + deployment + ".toml\"\n"
                + "base_port = " + basePort + "\n"
                + (deployment.equals("nilebadge") ? NILEBADGE_CALLS : HANEUL_CALLS);
        return ExperimentReader.parse(home, "demo", text);
    }
}
