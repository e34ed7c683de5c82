package org.trefoilledge.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.trefoilledge.core.ErrorKind;

/**
 * The statistics of one run.
 *
 * @param total all root requests after the warm-up
 * @param notWhole attempts after the warm-up that were not answered whole, by label
 * @param recovery recovery time, empty if the experiment has no trigger
 * @param phases statistics of each phase
 */
record RunStatistics(
        String profile,
        PhaseStatistics total,
        long attempts,
        Map<String, Long> notWhole,
        Optional<RecoveryTime> recovery,
        List<OrganisationStatistics> organisations,
        WastedExecutions wasted,
        List<PhaseStatistics> phases) {

    static RunStatistics of(
            String profile,
            Experiment experiment,
            List<RootRequest> roots,
            List<Attempt> attempts,
            WastedExecutions wasted) {
        double warmup = experiment.warmupSeconds();
        List<Attempt> counted =
                attempts.stream().filter(a -> a.sentMicros() / 1e6 >= warmup).toList();
        return new RunStatistics(
                profile,
                PhaseStatistics.of(new Phase("total", warmup, experiment.durationSeconds()), roots),
                counted.size(),
                labels(counted),
                recovery(experiment, roots),
                organisations(experiment, roots, attempts),
                wasted,
                phases(experiment).stream()
                        .map(phase -> PhaseStatistics.of(phase, roots))
                        .toList());
    }

    private static Map<String, Long> labels(List<Attempt> attempts) {
        return attempts.stream()
                .filter(a -> !a.result().whole())
                .collect(Collectors.groupingBy(a -> a.result().label(), TreeMap::new, Collectors.counting()));
    }

    private static Optional<RecoveryTime> recovery(Experiment experiment, List<RootRequest> roots) {
        if (experiment.triggerSeconds() <= experiment.warmupSeconds()) {
            return Optional.empty();
        }
        List<Double> wholeAt = roots.stream()
                .filter(RootRequest::whole)
                .map(RootRequest::endSeconds)
                .toList();
        return Optional.of(RecoveryTime.of(
                wholeAt,
                experiment.warmupSeconds(),
                experiment.triggerSeconds(),
                experiment.recoverFromSeconds(),
                experiment.durationSeconds()));
    }

    /** Returns the phases of the file; without any, those that trigger and recovery define. */
    private static List<Phase> phases(Experiment experiment) {
        double trigger = experiment.triggerSeconds();
        if (!experiment.phases().isEmpty() || trigger <= experiment.warmupSeconds()) {
            return experiment.phases();
        }
        List<Phase> phases = new ArrayList<>();
        phases.add(new Phase("before", experiment.warmupSeconds(), trigger));
        if (experiment.recoverFromSeconds() > trigger) {
            phases.add(new Phase("during", trigger, experiment.recoverFromSeconds()));
        }
        phases.add(new Phase("after", experiment.recoverFromSeconds(), experiment.durationSeconds()));
        return phases;
    }

    private static List<OrganisationStatistics> organisations(
            Experiment experiment, List<RootRequest> roots, List<Attempt> attempts) {
        Map<String, List<RootRequest>> rootsByOrganisation = roots.stream()
                .filter(r -> r.intendedSeconds() >= experiment.warmupSeconds())
                .collect(Collectors.groupingBy(RootRequest::organisation));
        Map<String, List<Attempt>> attemptsOf = attempts.stream().collect(Collectors.groupingBy(Attempt::organisation));
        Map<String, Double> entitled = entitled(experiment, rootsByOrganisation);
        List<OrganisationStatistics> statistics = new ArrayList<>();
        for (CallerGroup group : experiment.groups()) {
            String id = group.organisation();
            List<RootRequest> organisationRoots = rootsByOrganisation.getOrDefault(id, List.of());
            List<Attempt> ownAttempts = attemptsOf.getOrDefault(id, List.of());
            statistics.add(new OrganisationStatistics(
                    id,
                    organisationRoots.size(),
                    organisationRoots.stream().filter(RootRequest::whole).count(),
                    rateLimited(ownAttempts, experiment.warmupSeconds()),
                    entitled.getOrDefault(id, 0.0),
                    WrongfulRefusals.of(
                            ownAttempts, group.entitledRate(), group.entitledBurst(), experiment.warmupSeconds())));
        }
        return statistics;
    }

    private static long rateLimited(List<Attempt> attempts, double warmup) {
        return attempts.stream()
                .filter(a -> a.sentMicros() / 1e6 >= warmup && a.result().is(ErrorKind.RATE_LIMITED))
                .count();
    }

    private static Map<String, Double> entitled(
            Experiment experiment, Map<String, List<RootRequest>> rootsByOrganisation) {
        double seconds = experiment.durationSeconds() - experiment.warmupSeconds();
        Map<String, Double> demand = new TreeMap<>();
        Map<String, Double> weight = new TreeMap<>();
        long served = 0;
        for (CallerGroup group : experiment.groups()) {
            List<RootRequest> organisationRoots = rootsByOrganisation.getOrDefault(group.organisation(), List.of());
            served += organisationRoots.stream().filter(RootRequest::whole).count();
            double allowed = group.entitledRate() > 0
                    ? group.entitledRate() * seconds + group.entitledBurst()
                    : Double.POSITIVE_INFINITY;
            demand.put(group.organisation(), Math.min(organisationRoots.size(), allowed));
            weight.put(group.organisation(), group.entitledRate() > 0 ? group.entitledRate() : 1.0);
        }
        return FairShare.divide((double) served, demand, weight);
    }

    WrongfulRefusals wrongful() {
        return organisations.stream()
                .map(OrganisationStatistics::wrongful)
                .reduce(WrongfulRefusals.NONE, (a, b) -> a.plus(b));
    }

    Optional<OrganisationStatistics> worstServed() {
        return organisations.stream().min(Comparator.comparingDouble(OrganisationStatistics::ratio));
    }

    double attemptsPerRoot() {
        return total.sent() == 0 ? 0 : attempts / (double) total.sent();
    }
}
