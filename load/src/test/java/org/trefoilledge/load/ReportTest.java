package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.Importance;

class ReportTest {
    private static final AttemptResult OVERLOADED = AttemptResult.refused(ErrorKind.OVERLOADED, 503, 0);

    private static ProfileRun run() throws Exception {
        Experiment experiment = experiment();
        List<RootRequest> roots = new ArrayList<>();
        List<Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            long intended = i * 100_000L;
            AttemptResult result = i % 4 == 0 ? OVERLOADED : AttemptResult.WHOLE;
            String organisation = i % 2 == 0 ? "one" : "two";
            Importance importance = i % 2 == 0 ? Importance.CRITICAL : Importance.LOW;
            roots.add(new RootRequest(i, organisation, "r", importance, intended, intended + 20_000, 1, result));
            attempts.add(new Attempt(i, organisation, 0, intended, intended + 20_000, result));
        }
        WastedExecutions wasted = new WastedExecutions(100, 2, 3);
        return new ProfileRun(
                "default",
                RunStatistics.of("default", experiment, roots, attempts, wasted),
                TimeSeries.of(10, roots, attempts),
                List.of());
    }

    private static Experiment experiment() throws Exception {
        return ExperimentReader.parse(
                Path.of("."),
                "x.toml",
                """
                name = "a <small> one"
                duration_s = 10
                warmup_s = 2
                trigger_s = 5
                recover_from_s = 7
                targets = ["127.0.0.1:1"]
                route = [{path = "/a"}]
                organisation = [{id = "one", rate = 5, entitled_rate = 5, entitled_burst = 5},
                  {id = "two", rate = 5, entitled_rate = 5, entitled_burst = 5}]
                """);
    }

    @Test
    void figuresCountOnlyRequestsAfterTheWarmUp() throws Exception {
        RunStatistics statistics = run().statistics();
        assertThat(statistics.total().sent()).isEqualTo(80);
        assertThat(statistics.total().whole()).isEqualTo(60);
        assertThat(statistics.total().wholeShare(Importance.CRITICAL)).isEqualTo(0.5);
        assertThat(statistics.notWhole()).containsEntry("OVERLOADED", 20L);
        assertThat(statistics.phases()).extracting(p -> p.phase().name()).containsExactly("before", "during", "after");
    }

    /** Guards against a ratio that hides an organisation served below its fair share. */
    @Test
    void worstServedOrganisationIsMeasuredAgainstItsFairShare() throws Exception {
        OrganisationStatistics worst = run().statistics().worstServed().orElseThrow();
        assertThat(worst.organisation()).isEqualTo("one");
        assertThat(worst.ratio()).isEqualTo(20 / 30.0);
    }

    @Test
    void seriesHaveOneValueForEachSecond() throws Exception {
        String csv = CsvReport.seconds(run().series());
        assertThat(csv.lines()).hasSize(11);
        assertThat(csv.lines().findFirst().orElseThrow())
                .isEqualTo("second,sent,whole,p50_ms,p99_ms,OVERLOADED,whole:one,whole:two");
    }

    @Test
    void pageIsSelfContainedAndEscaped() throws Exception {
        String page = HtmlReport.page(experiment(), List.of(run()));
        assertThat(page).contains("a &lt;small&gt; one", "<svg", "OVERLOADED").doesNotContain("src=", "href=", "NaN");
    }

    @Test
    void summaryHasOneColumnForEachProfile() throws Exception {
        String table = SummaryTable.text(List.of(run(), run()));
        assertThat(table).containsPattern("goodput, whole/s +7\\.5 +7\\.5");
        assertThat(table).contains("2 late + 3 for nothing of 100 (5.00%)");
    }

    @Test
    void axisEndsAtARoundNumber() {
        assertThat(SvgPlot.axisMaximum(130)).isEqualTo(200);
        assertThat(SvgPlot.axisMaximum(0)).isPositive();
    }
}
