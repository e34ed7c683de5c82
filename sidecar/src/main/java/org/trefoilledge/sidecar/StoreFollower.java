package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;

/**
 * Reads the configuration, the nodes and the claims in the store. The collector of a zone, and nodes that no collector
 * answers, follow the store with a watch, which brings changes at once; the others only read the configuration if nobody
 * has confirmed it for long. Used on the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // each call notes how it ended
final class StoreFollower {
    private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);
    /** A watch on a connection that has gone silent is noticed after this time and the slack of its answer. */
    private static final long WATCH_MILLIS = 8_000;
    /** Changes that come together, as at the start of a fleet, are fetched together. */
    private static final long WATCH_PAUSE_MILLIS = 500;

    private static final long SHORTEST_RETRY_MILLIS = 150;
    private static final long LONGEST_RETRY_MILLIS = 600;
    /** Age of the configuration at which a collector reads it itself, if nobody has told a younger one. */
    private static final long COLLECTOR_REFRESH_MILLIS = 900;
    /** The same for other nodes, whose collector needs a read and the exchange between the zones to know better. */
    private static final long REFRESH_MILLIS = 2_000;

    private static final long REFRESH_SPREAD_MILLIS = 700;
    /** Interval at which the age is looked at. */
    private static final long CHECK_MILLIS = 300;

    private final EventLoop control;
    private final KeyValueStore store;
    private final StoreNotes notes;
    private final Platform platform;
    private final Knowledge knowledge;
    private final Directory directory;
    private final Clock clock;
    private final RandomGenerator random;
    private final Changes changed;
    private boolean reading;
    private boolean watching;
    private boolean collecting;
    /** Counts the times at which the watch was started; answers to earlier ones have no effect. */
    private long round;

    /** Hears of what was learned. */
    interface Changes {
        void directoryChanged();

        void configChanged();

        /** The configuration was read in the store; others need not read it for a while if they hear of that. */
        void configRead();
    }

    StoreFollower(
            EventLoop control,
            KeyValueStore store,
            StoreNotes notes,
            Platform platform,
            Knowledge knowledge,
            Directory directory,
            Clock clock,
            RandomGenerator random,
            Changes changed) {
        this.control = control;
        this.store = store;
        this.notes = notes;
        this.platform = platform;
        this.knowledge = knowledge;
        this.directory = directory;
        this.clock = clock;
        this.random = random;
        this.changed = changed;
    }

    /** Reads everything once, the nodes after a pause in which they can write their entries. */
    void start(long pauseMillis) {
        readConfig();
        long first = ++round;
        control.schedule(() -> list(first, false), pauseMillis, TimeUnit.MILLISECONDS);
        Repeated.every(control, CHECK_MILLIS, this::refresh);
    }

    /** Starts or stops to watch the store. */
    void watching(boolean wanted) {
        if (wanted == watching || !directory.complete()) {
            return;
        }
        watching = wanted;
        round++;
        if (wanted) {
            LOG.info("store: this node follows it");
            list(round, true);
        } else {
            LOG.info("store: this node hears of it from the collector of its zone");
        }
    }

    boolean isWatching() {
        return watching;
    }

    /** Tells whether this node collects for its zone, which makes it read the configuration more often. */
    void collecting(boolean current) {
        collecting = current;
    }

    private void list(long ofRound, boolean thenWatch) {
        store.list(Directory.PREFIX).whenComplete((listing, error) -> {
            notes.note("list", error);
            if (ofRound != round) {
                return;
            }
            if (error != null) {
                later(() -> list(ofRound, thenWatch));
                return;
            }
            Repeated.guarded(() -> {
                directory.listed(listing.items(), clock.millis());
                changed.directoryChanged();
            });
            if (thenWatch) {
                watch(ofRound, listing.revision());
            }
        });
    }

    private void watch(long ofRound, long revision) {
        if (ofRound != round) {
            return;
        }
        Knowledge.Moment sent = knowledge.now();
        store.watch("", revision, WATCH_MILLIS).whenComplete((changes, error) -> {
            notes.note("watch", error);
            if (ofRound != round) {
                return;
            }
            if (error != null) {
                later(() -> watch(ofRound, revision));
            } else if (changes.historyLost()) {
                LOG.info("store: the history was dropped; listing again");
                refreshNow();
                list(ofRound, true);
            } else {
                Repeated.guarded(() -> apply(changes.changes(), sent));
                long pause = changes.changes().isEmpty() ? 0 : WATCH_PAUSE_MILLIS;
                control.schedule(() -> watch(ofRound, changes.revision()), pause, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void apply(List<KeyValueStore.Change> changes, Knowledge.Moment asOf) {
        List<KeyValueStore.Change> ofFleet = new ArrayList<>();
        for (KeyValueStore.Change change : changes) {
            if (change.key().startsWith(Directory.PREFIX)) {
                ofFleet.add(change);
            } else if (change.key().equals(platform.configKey())) {
                change.item().ifPresent(item -> learn(item.value(), asOf));
            }
        }
        if (!ofFleet.isEmpty()) {
            directory.changed(ofFleet, clock.millis());
            changed.directoryChanged();
        }
    }

    private void refresh() {
        long bound = (collecting ? COLLECTOR_REFRESH_MILLIS : REFRESH_MILLIS) + random.nextLong(REFRESH_SPREAD_MILLIS);
        if (!reading && knowledge.ageMillis() >= bound) {
            readConfig();
        }
    }

    private void refreshNow() {
        if (reading) {
            later(this::refreshNow);
        } else {
            readConfig();
        }
    }

    private void readConfig() {
        reading = true;
        Knowledge.Moment sent = knowledge.now();
        store.read(platform.configKey()).whenComplete((item, error) -> {
            reading = false;
            notes.note("read", error);
            if (error == null && item.isPresent()) {
                learn(item.get().value(), sent);
                changed.configRead();
            }
        });
    }

    /** Takes a configuration, from the store or from a peer, that was the newest one at the given time. */
    void learn(byte[] document, Knowledge.Moment asOf) {
        try {
            if (knowledge.learn(platform.readConfig(document), document, asOf)) {
                LOG.info("config: version {} is in force", knowledge.version());
                changed.configChanged();
            }
        } catch (ConfigFormatException | RuntimeException e) {
            LOG.error("config: ignored a configuration that cannot be read", e);
        }
    }

    private void later(Runnable action) {
        long delay = random.nextLong(SHORTEST_RETRY_MILLIS, LONGEST_RETRY_MILLIS);
        control.schedule(action, delay, TimeUnit.MILLISECONDS);
    }
}
