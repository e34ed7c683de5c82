package org.trefoilledge.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Organisation;

/**
 * Measures wrongful refusals: requests that an exact limiter, which sees the whole fleet's demand at once, would admit.
 * The baselines receive the same requests: static equal shares per node, and one limiter per organisation on one node.
 */
final class WrongfulRefusals {
    static final List<Organisation> ORGANISATIONS = List.of(
            new Organisation(new OrganisationId("large"), 200, 200, List.of()),
            new Organisation(new OrganisationId("medium"), 50, 50, List.of()),
            new Organisation(new OrganisationId("small"), 3, 5, List.of()),
            new Organisation(new OrganisationId("tight"), 200, 40, List.of()));

    private static final int ZONES = 4;
    private static final int NODES_PER_ZONE = 4;
    private static final int NODES = ZONES * NODES_PER_ZONE;
    /** Longer than the delay of increased shares, so that all buckets are full when the demand begins. */
    private static final long WARM_UP_MILLIS = 25_000;

    private static final long DEMAND_MILLIS = 40_000;
    private static final long CRASH_AFTER_MILLIS = 5_000;
    private static final long TAKEOVER_MILLIS = 12_000;
    private static final int CRASHING_NODE = 0;

    enum Scenario {
        ONE_HOST,
        ONE_ZONE,
        EVEN,
        SIX_TIMES,
        OWNER_DIES,
        OWNER_DIES_STORE_DOWN,
        STORE_DOWN,
        AFTER_START
    }

    /** Counts for one organisation in one scenario. */
    static final class RefusalCounts {
        long demand;
        long rightful;
        long wrongful;
        long admitted;
        /** Requests less than an exact limiter would admit, for an organisation that exceeds its limits. */
        long unused;

        long staticWrongful;
        long centralWrongful;

        double percent() {
            return rightful == 0 ? 0 : 100.0 * wrongful / rightful;
        }

        double percent(long part) {
            return rightful == 0 ? 0 : 100.0 * part / rightful;
        }
    }

    private final Scenario scenario;
    private final Random random;
    private final LimitSimulation simulation;
    private final long start;

    WrongfulRefusals(Scenario scenario, long seed, LimitSettings settings) {
        this.scenario = scenario;
        random = new Random(seed * 31 + 7);
        simulation = new LimitSimulation(seed, ZONES, NODES_PER_ZONE, ORGANISATIONS, settings, false);
        start = scenario == Scenario.AFTER_START ? 0 : WARM_UP_MILLIS;
    }

    Map<OrganisationId, RefusalCounts> run() {
        simulation.storeUp = scenario != Scenario.STORE_DOWN && scenario != Scenario.OWNER_DIES_STORE_DOWN;
        if (ownerDies()) {
            simulation.schedule(start + CRASH_AFTER_MILLIS, () -> simulation.crash(CRASHING_NODE, Long.MAX_VALUE));
        }
        ORGANISATIONS.forEach(this::scheduleDemand);
        simulation.run(start + DEMAND_MILLIS + 1_000);
        Map<OrganisationId, RefusalCounts> countsByOrganisation = new HashMap<>();
        ORGANISATIONS.forEach(organisation -> countsByOrganisation.put(organisation.id(), tally(organisation)));
        return countsByOrganisation;
    }

    int messages() {
        return simulation.messages;
    }

    /** Returns whether the demand exceeds the limits, so that it does not matter which requests are refused. */
    private boolean exceedsLimits(Organisation organisation) {
        return scenario == Scenario.SIX_TIMES && organisation.id().value().equals("large");
    }

    private boolean ownerDies() {
        return scenario == Scenario.OWNER_DIES || scenario == Scenario.OWNER_DIES_STORE_DOWN;
    }

    /** Random requests at 0.6 of the rate, and bursts of half the depth which add 0.2 of the rate. */
    private void scheduleDemand(Organisation organisation) {
        int homeNode = 1 + random.nextInt(NODES - 1);
        int homeZone = homeNode / NODES_PER_ZONE * NODES_PER_ZONE;
        IntUnaryOperator nextNode = i -> switch (scenario) {
            case ONE_HOST, AFTER_START -> homeNode;
            case ONE_ZONE -> homeZone + random.nextInt(NODES_PER_ZONE);
            default -> random.nextInt(NODES);
        };
        double factor = exceedsLimits(organisation) ? 10 : 1;
        double gap = 1_000 / (0.6 * factor * organisation.rate());
        for (double at = start; at < start + DEMAND_MILLIS; at += -gap * Math.log(1 - random.nextDouble())) {
            request(organisation, nextNode.applyAsInt(0), (long) at);
        }
        int size = (int) Math.max(1, Math.floor(organisation.burst() / 2));
        double burstGap = 1_000 * size / (0.2 * organisation.rate());
        for (double at = start + burstGap * random.nextDouble(); at < start + DEMAND_MILLIS; at += burstGap) {
            for (int i = 0; i < size; i++) {
                request(organisation, nextNode.applyAsInt(0), (long) at + random.nextInt(5));
            }
        }
    }

    /** Schedules a request; callers of a crashed host use the next one. */
    private void request(Organisation organisation, int node, long at) {
        boolean crashed = ownerDies() && node == CRASHING_NODE && at >= start + CRASH_AFTER_MILLIS;
        simulation.request(organisation.id(), crashed ? node + 1 : node, at);
    }

    private RefusalCounts tally(Organisation organisation) {
        List<LimitSimulation.Request> requests = new ArrayList<>(simulation.requests.stream()
                .filter(request -> request.organisation.equals(organisation.id()))
                .toList());
        requests.sort((a, b) -> Long.compare(a.at, b.at));
        double full = start == 0 ? 0 : 1;
        double burst = organisation.burst();
        ExactTokenBucket exact = new ExactTokenBucket(burst * full, start);
        ExactTokenBucket central = new ExactTokenBucket(burst * full, start);
        List<ExactTokenBucket> statics = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            statics.add(new ExactTokenBucket(burst / NODES * full, start));
        }
        RefusalCounts counts = new RefusalCounts();
        for (LimitSimulation.Request request : requests) {
            counts.demand++;
            counts.admitted += request.admitted ? 1 : 0;
            boolean byStatic = statics.get(request.node).take(organisation.rate() / NODES, burst / NODES, request.at);
            boolean byCentral = !centralDown(request.at) && central.take(organisation.rate(), burst, request.at);
            if (exact.take(organisation.rate(), burst, request.at)) {
                counts.rightful++;
                counts.wrongful += request.admitted ? 0 : 1;
                counts.staticWrongful += byStatic ? 0 : 1;
                counts.centralWrongful += byCentral ? 0 : 1;
            }
        }
        if (exceedsLimits(organisation)) {
            counts.unused = Math.max(0, counts.rightful - counts.admitted);
            counts.wrongful = 0;
        }
        return counts;
    }

    private boolean centralDown(long at) {
        long crashAt = start + CRASH_AFTER_MILLIS;
        return ownerDies() && at >= crashAt && (!simulation.storeUp || at < crashAt + TAKEOVER_MILLIS);
    }

    /** Runs a scenario with several seeds and returns the sums. */
    static Map<OrganisationId, RefusalCounts> run(
            Scenario scenario, int seeds, LimitSettings settings, long[] messages) {
        Map<OrganisationId, RefusalCounts> sums = new HashMap<>();
        for (int seed = 1; seed <= seeds; seed++) {
            WrongfulRefusals run = new WrongfulRefusals(scenario, seed, settings);
            run.run().forEach((id, counts) -> add(sums.computeIfAbsent(id, i -> new RefusalCounts()), counts));
            messages[0] += run.messages();
        }
        return sums;
    }

    private static void add(RefusalCounts sum, RefusalCounts counts) {
        sum.demand += counts.demand;
        sum.rightful += counts.rightful;
        sum.wrongful += counts.wrongful;
        sum.admitted += counts.admitted;
        sum.unused += counts.unused;
        sum.staticWrongful += counts.staticWrongful;
        sum.centralWrongful += counts.centralWrongful;
    }

    static String line(Scenario scenario, Organisation organisation, RefusalCounts counts) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %d | %.2f | %.2f | %.2f | %.2f |",
                scenario,
                organisation.id(),
                counts.demand,
                counts.rightful,
                counts.percent(),
                counts.percent(counts.unused),
                counts.percent(counts.staticWrongful),
                counts.percent(counts.centralWrongful));
    }

    /** Measures all scenarios: the arguments are the number of seeds and, optionally, the loan time in ms. */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        LimitSettings usual = LimitSettings.DEFAULT;
        long loanMillis = args.length > 1 ? Long.parseLong(args[1]) : usual.loanMillis();
        LimitSettings settings = new LimitSettings(
                loanMillis, usual.increaseDelayMillis(), usual.waitMillis(), usual.borrowFromOtherZones());
        System.out.println(
                "| scenario | organisation | demand | rightful | wrongful % | unused % | static % | one limiter % |");
        for (Scenario scenario : Scenario.values()) {
            long[] messages = new long[1];
            Map<OrganisationId, RefusalCounts> countsByOrganisation = run(scenario, seeds, settings, messages);
            RefusalCounts sum = new RefusalCounts();
            for (Organisation organisation : ORGANISATIONS) {
                RefusalCounts counts = countsByOrganisation.get(organisation.id());
                System.out.println(line(scenario, organisation, counts));
                add(sum, counts);
            }
            System.out.printf(Locale.ROOT, "%s total %.3f%%, %d messages%n", scenario, sum.percent(), messages[0]);
        }
    }
}
