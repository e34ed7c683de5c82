package org.trefoilledge.load;

import java.util.List;
import java.util.Optional;

/**
 * One experiment, as read from its file.
 *
 * @param scale the factor between this experiment and the real deployment, in words
 * @param targets addresses of the nodes' callers' ports; empty if the tool starts the deployment itself
 * @param warmupSeconds time at the start that is excluded from the statistics
 * @param triggerSeconds when the disturbance begins, negative if there is none
 * @param recoverFromSeconds when the disturbance ends and recovery is counted from
 * @param deadlineMillis deadline of each attempt, sent in a header; the client timeout adds the grace of
 *     {@link RetryingRequest}
 * @param maxInFlight maximum of concurrent attempts; attempts above it are counted as not sent
 * @param uniform whether requests are evenly spaced; otherwise they form a Poisson process
 */
record Experiment(
        String name,
        String description,
        String scale,
        List<String> profiles,
        Optional<DeploymentSettings> deployment,
        List<String> targets,
        double durationSeconds,
        double warmupSeconds,
        double triggerSeconds,
        double recoverFromSeconds,
        long deadlineMillis,
        int maxInFlight,
        boolean uniform,
        long seed,
        CallerDefaults defaults,
        List<CallerGroup> groups,
        List<TimedAction> actions,
        List<Phase> phases) {
    Experiment {
        profiles = List.copyOf(profiles);
        targets = List.copyOf(targets);
        groups = List.copyOf(groups);
        actions = List.copyOf(actions);
        phases = List.copyOf(phases);
    }

    /**
     * Settings for organisations that the inventory has and the file does not list.
     *
     * @param loadFactor their rate as a fraction of the inventory's rate, 0 to leave them out
     */
    record CallerDefaults(double loadFactor, RetryPolicy retry, RateShape shape, List<RouteLoad> mix) {
        CallerDefaults {
            mix = List.copyOf(mix);
        }
    }

    Experiment withGroups(List<CallerGroup> newGroups) {
        return copy(profiles, targets, seed, newGroups);
    }

    Experiment withTargets(List<String> newTargets) {
        return copy(profiles, newTargets, seed, groups);
    }

    Experiment withSeed(long newSeed) {
        return copy(profiles, targets, newSeed, groups);
    }

    Experiment withProfiles(List<String> newProfiles) {
        return copy(newProfiles, targets, seed, groups);
    }

    private Experiment copy(
            List<String> newProfiles, List<String> newTargets, long newSeed, List<CallerGroup> newGroups) {
        return new Experiment(
                name,
                description,
                scale,
                newProfiles,
                deployment,
                newTargets,
                durationSeconds,
                warmupSeconds,
                triggerSeconds,
                recoverFromSeconds,
                deadlineMillis,
                maxInFlight,
                uniform,
                newSeed,
                defaults,
                newGroups,
                actions,
                phases);
    }
}
