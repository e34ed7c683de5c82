package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.Importance;

class ExperimentReaderTest {
    private static final String SMALL =
            """
            name = "small"
            duration_s = 10
            targets = ["127.0.0.1:8080"]

            [[route]]
            path = "/a/{n}"
            importance = "critical"

            [[organisation]]
            id = "one"
            rate = 5
            """;

    private static Experiment parse(String text) throws Exception {
        return ExperimentReader.parse(Path.of("."), "x.toml", text);
    }

    @Test
    void smallFileHasDefaults() throws Exception {
        Experiment experiment = parse(SMALL);
        assertThat(experiment.profiles()).containsExactly("default");
        assertThat(experiment.groups().get(0).rate()).isEqualTo(5);
        assertThat(experiment.groups().get(0).mix().get(0).importance()).isEqualTo(Importance.CRITICAL);
        assertThat(experiment.groups().get(0).retry().maxRetries()).isZero();
    }

    /** Guards against a misspelled key that silently changes nothing. */
    @Test
    void unknownKeyIsRefusedWithItsPosition() {
        assertThatThrownBy(() -> parse(SMALL + "rat = 6\n")).hasMessageStartingWith("x.toml:12:1: unknown key rat");
    }

    @Test
    void unknownProfileIsRefused() {
        assertThatThrownBy(() -> parse("profiles = [\"fast\"]\n" + SMALL))
                .hasMessageStartingWith("x.toml:1:1: profiles: expected names of default, fixed-limit");
    }

    @Test
    void actionWithTwoKindsIsRejected() {
        assertThatThrownBy(() -> parse(SMALL + "[[action]]\nat_s = 1\nkill = \"store\"\nstart = \"store\"\n"))
                .hasMessageContaining("expected exactly one of put, start, stop, kill, freeze, resume");
    }

    @Test
    void actionTakesOneTargetOrAList() throws Exception {
        List<TimedAction> actions = parse(
                        SMALL
                                + "[[action]]\nat_s = 1\nkill = \"store\"\n[[action]]\nat_s = 2\nfreeze = [\"node:a\", \"node:b\"]\n")
                .actions();
        assertThat(actions.get(0)).isEqualTo(new TimedAction(1, TimedAction.Kind.KILL, List.of("store"), ""));
        assertThat(actions.get(1).targets()).containsExactly("node:a", "node:b");
    }

    @Test
    void fileWithoutTargetsOrDeploymentIsRefused() {
        assertThatThrownBy(() -> parse(SMALL.replace("targets = [\"127.0.0.1:8080\"]", "")))
                .hasMessage("x.toml:1:1: expected targets or a [deployment] section");
    }

    /** Guards against experiments in the repository that the tool cannot read. */
    @Test
    void experimentsOfTheRepositoryAreValid() throws Exception {
        Path directory = HomeDirectory.find().resolve("experiments");
        try (Stream<Path> files = Files.list(directory)) {
            List<Path> experiments =
                    files.filter(file -> file.toString().endsWith(".toml")).toList();
            assertThat(experiments).isNotEmpty();
            for (Path file : experiments) {
                assertThat(ExperimentReader.read(file).deployment())
                        .as(file.toString())
                        .isPresent();
            }
        }
    }

    /** Guards against a demo that fails only after its deployment was started. */
    @Test
    void demoExperimentsAreValid() throws Exception {
        for (String deployment : List.of("nilebadge", "haneul")) {
            Experiment experiment = DemoExperiment.of(HomeDirectory.find(), deployment, 10, 21_000, 0.1);
            assertThat(experiment.defaults().mix()).hasSize(8);
            assertThat(Host.read(experiment.deployment().get().hosts())).hasSizeGreaterThan(10);
        }
    }
}
