package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.trefoilledge.configstore.InventoryFile;
import org.trefoilledge.configstore.TomlReader;
import org.trefoilledge.core.config.Inventory;

class DeploymentPartsTest {
    private static final Host HOST = new Host("order-1", "cairo-a", "order-intake", 90, 650);

    /** Guards against a written inventory that differs from the sample in more than its rates. */
    @Test
    void scaledInventoryIsReadBackWithScaledRates() throws Exception {
        Inventory sample = InventoryFile.read(HomeDirectory.find().resolve("samples/nilebadge.toml"))
                .inventory();
        Inventory scaled = ScaledInventory.scale(sample, 0.5);
        Inventory read =
                InventoryFile.parse("scaled.toml", ScaledInventory.toml(scaled)).inventory();
        assertThat(read).isEqualTo(scaled);
        assertThat(read.routes()).isEqualTo(sample.routes());
        assertThat(read.organisations().get(read.organisations().firstKey()).rate())
                .isEqualTo(200);
    }

    /** Guards against node settings that are not valid TOML, which show only after a deployment was started. */
    @Test
    void nodeSettingsAreValidToml() throws Exception {
        String text = NodeSettings.toml(
                HOST, 2, "nilebadge", new PortPlan(21_000), List.of("127.0.0.1:21003"), Profile.of("no-loans"), true);
        TomlReader reader = TomlReader.parse("node.toml", text);
        assertThat(reader.section("listen").text("callers")).isEqualTo("127.0.0.1:21021");
        assertThat(reader.section("policy").flag("loans", true)).isFalse();
        assertThat(reader.section("policy").flag("guard", false)).isTrue();
        assertThat(reader.section("faults").flag("enabled", false)).isTrue();
    }

    @Test
    void targetsSelectHosts() {
        assertThat(HostPattern.matches("node:order-1", "node", HOST)).isTrue();
        assertThat(HostPattern.matches("node:order-*", "node", HOST)).isTrue();
        assertThat(HostPattern.matches("node@cairo-a", "node", HOST)).isTrue();
        assertThat(HostPattern.matches("upstream=order-intake", "upstream", HOST))
                .isTrue();
        assertThat(HostPattern.matches("upstream=order-intake", "node", HOST)).isFalse();
        assertThat(HostPattern.matches("node:order", "node", HOST)).isFalse();
    }

    @Test
    void smallDeploymentStillUsesSeveralZones() throws Exception {
        List<Host> hosts = Host.read(HomeDirectory.find().resolve("samples/nilebadge-hosts.toml"));
        List<Host> few = Host.limit(hosts, 2);
        assertThat(few).hasSize(8);
        assertThat(few.stream().map(Host::zone).distinct()).hasSize(4);
    }

    @Test
    void executionsAreWastedIfLateOrNotNeeded() throws Exception {
        WastedExecutions.Totals totals = WastedExecutions.Totals.of(
                new ObjectMapper().readTree("{\"totals\":{\"started\":12,\"finished\":10,\"wasted\":2},\"keys\":{}}"));
        assertThat(WastedExecutions.of(List.of(totals, totals), 13)).isEqualTo(new WastedExecutions(20, 4, 3));
    }

    /** Guards against child calls that are counted as waste. */
    @Test
    void requestNeedsTheExecutionsOfItsChildCalls() throws Exception {
        DeploymentSettings settings = ExperimentReader.read(
                        HomeDirectory.find().resolve("experiments/b-slow-service-nilebadge.toml"))
                .deployment()
                .orElseThrow();
        CallTree tree = new CallTree(InventoryFile.read(settings.inventory()).inventory(), settings);
        assertThat(tree.executions("GET", "/pickups/{n}", 1)).isEqualTo(3);
        assertThat(tree.executions("POST", "/orders", 1)).isEqualTo(2);
        assertThat(tree.executions("POST", "/previews", 1)).isEqualTo(1);
        assertThat(tree.executions("GET", "/nowhere", 1)).isZero();
    }

    @Test
    void nodeIsReadyWhenItSeesAllMembersServing() throws Exception {
        String status =
                """
                {"host":"a","upstreamState":"serving","revision":%d,
                 "members":[{"host":"b","state":"serving"},{"host":"c","state":"%s"}]}
                """;
        ObjectMapper mapper = new ObjectMapper();
        assertThat(Readiness.problem(mapper.readTree(status.formatted(1, "serving")), 3))
                .isEmpty();
        assertThat(Readiness.problem(mapper.readTree(status.formatted(1, "starting")), 3))
                .isEqualTo("it sees 2 of 3 members serving");
        assertThat(Readiness.problem(mapper.readTree(status.formatted(0, "serving")), 3))
                .isEqualTo("it has no configuration yet");
    }

    /** Guards against processes that outlive the tool, also frozen ones. */
    @Test
    void closingTheGroupEndsFrozenProcesses(@TempDir Path directory) throws Exception {
        ProcessGroup group = new ProcessGroup(directory);
        group.start(new ProcessGroup.ProcessSpec("sleeper", List.of("sleep", "60"), ""));
        group.signal("sleeper", "STOP");
        long start = System.nanoTime();
        group.close();
        assertThat(group.isAlive("sleeper")).isFalse();
        assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - start)).isLessThan(8);
    }
}
