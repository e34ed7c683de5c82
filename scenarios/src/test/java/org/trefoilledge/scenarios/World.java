package org.trefoilledge.scenarios;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** What the steps of one scenario share. Scenarios may run at the same time, each on its own thread. */
final class World implements AutoCloseable {
    private static final ThreadLocal<World> CURRENT = new ThreadLocal<>();

    private final Fleet fleet;
    private final Ledger ledger = new Ledger();
    private final RandomGenerator random;
    private final Callers callers;
    private final String chosenHost;

    private World(Fleet fleet, long seed) {
        this.fleet = fleet;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.chosenHost = fleet.hosts().get(random.nextInt(fleet.hosts().size()));
        this.callers = new Callers(fleet, ledger, random);
    }

    static void begin(Fleet fleet, long seed) {
        CURRENT.set(new World(fleet, seed));
    }

    static World current() {
        return CURRENT.get();
    }

    static void end() {
        World world = CURRENT.get();
        CURRENT.remove();
        if (world != null) {
            world.close();
        }
    }

    Fleet fleet() {
        return fleet;
    }

    Ledger ledger() {
        return ledger;
    }

    RandomGenerator random() {
        return random;
    }

    Callers callers() {
        return callers;
    }

    /** The host that the seed has chosen for the fault. */
    String chosenHost() {
        return chosenHost;
    }

    @Override
    public void close() {
        try {
            callers.close();
        } finally {
            fleet.close();
        }
    }
}
