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
    private static final long WATCH_WAIT_MILLIS = 8_000;
    /** Changes that come together, as at the start of a fleet, are fetched together. */
    private static final long WATCH_BATCH_DELAY_MILLIS = 500;

    private static final long MIN_RETRY_DELAY_MILLIS = 150;
    private static final long MAX_RETRY_DELAY_MILLIS = 600;
    /** Age of the configuration at which a collector reads it itself, if nobody has told a younger one. */
    private static final long COLLECTOR_MAX_CONFIG_AGE_MILLIS = 900;
    /** The same for other nodes, whose collector needs a read and the exchange between the zones to know better. */
    private static final long MAX_CONFIG_AGE_MILLIS = 2_000;

    private static final long REFRESH_JITTER_MILLIS = 700;
    /** Interval at which the age is looked at. */
    private static final long AGE_CHECK_INTERVAL_MILLIS = 300;

    private final EventLoop control;
    private final KeyValueStore store;
    private final StoreNotes notes;
    private final Platform platform;
    private final ConfigState configState;
    private final Directory directory;
    private final Clock clock;
    private final RandomGenerator random;
    private final Listener listener;
    private boolean configReadInFlight;
    private boolean watching;
    private boolean collecting;
    /** Counts the times at which the watch was started; answers to earlier ones have no effect. */
    private long generation;

    /** Hears of what was learned. */
    interface Listener {
        void onDirectoryChanged();

        void onConfigChanged();

        /** The configuration was read in the store; others need not read it for a while if they hear of that. */
        void onConfigRead();
    }

    StoreFollower(
            EventLoop control,
            KeyValueStore store,
            StoreNotes notes,
            Platform platform,
            ConfigState knowledge,
            Directory directory,
            Clock clock,
            RandomGenerator random,
            Listener changed) {
        this.control = control;
        this.store = store;
        this.notes = notes;
        this.platform = platform;
        this.configState = knowledge;
        this.directory = directory;
        this.clock = clock;
        this.random = random;
        this.listener = changed;
    }

    /** Reads everything once, the nodes after a pause in which they can write their entries. */
    void start(long pauseMillis) {
        readConfig();
        long first = ++generation;
        control.schedule(() -> listFleet(first, false), pauseMillis, TimeUnit.MILLISECONDS);
        Repeated.scheduleWithFixedDelay(control, AGE_CHECK_INTERVAL_MILLIS, this::refreshIfStale);
    }

    /** Starts or stops to watch the store. */
    void watching(boolean wanted) {
        if (wanted == watching || !directory.complete()) {
            return;
        }
        watching = wanted;
        generation++;
        if (wanted) {
            LOG.info("store: this node follows it");
            listFleet(generation, true);
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

    private void listFleet(long ofRound, boolean thenWatch) {
        store.list(Directory.PREFIX).whenComplete((listing, error) -> {
            notes.recordCall("list", error);
            if (ofRound != generation) {
                return;
            }
            if (error != null) {
                retryLater(() -> listFleet(ofRound, thenWatch));
                return;
            }
            Repeated.runAndLogErrors(() -> {
                directory.applyStoreListing(listing.items(), clock.millis());
                listener.onDirectoryChanged();
            });
            if (thenWatch) {
                watch(ofRound, listing.revision());
            }
        });
    }

    private void watch(long ofRound, long revision) {
        if (ofRound != generation) {
            return;
        }
        ConfigState.Timestamp sent = configState.now();
        store.watch("", revision, WATCH_WAIT_MILLIS).whenComplete((changes, error) -> {
            notes.recordCall("watch", error);
            if (ofRound != generation) {
                return;
            }
            if (error != null) {
                retryLater(() -> watch(ofRound, revision));
            } else if (changes.historyLost()) {
                LOG.info("store: the history was dropped; listing again");
                refreshConfig();
                listFleet(ofRound, true);
            } else {
                Repeated.runAndLogErrors(() -> applyChanges(changes.changes(), sent));
                long pause = changes.changes().isEmpty() ? 0 : WATCH_BATCH_DELAY_MILLIS;
                control.schedule(() -> watch(ofRound, changes.revision()), pause, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void applyChanges(List<KeyValueStore.Change> changes, ConfigState.Timestamp asOf) {
        List<KeyValueStore.Change> ofFleet = new ArrayList<>();
        for (KeyValueStore.Change change : changes) {
            if (change.key().startsWith(Directory.PREFIX)) {
                ofFleet.add(change);
            } else if (change.key().equals(platform.configKey())) {
                change.item().ifPresent(item -> applyConfig(item.value(), asOf));
            }
        }
        if (!ofFleet.isEmpty()) {
            directory.applyStoreChanges(ofFleet, clock.millis());
            listener.onDirectoryChanged();
        }
    }

    private void refreshIfStale() {
        long bound = (collecting ? COLLECTOR_MAX_CONFIG_AGE_MILLIS : MAX_CONFIG_AGE_MILLIS)
                + random.nextLong(REFRESH_JITTER_MILLIS);
        if (!configReadInFlight && configState.ageMillis() >= bound) {
            readConfig();
        }
    }

    private void refreshConfig() {
        if (configReadInFlight) {
            retryLater(this::refreshConfig);
        } else {
            readConfig();
        }
    }

    private void readConfig() {
        configReadInFlight = true;
        ConfigState.Timestamp sent = configState.now();
        store.read(platform.configKey()).whenComplete((item, error) -> {
            configReadInFlight = false;
            notes.recordCall("read", error);
            if (error == null && item.isPresent()) {
                applyConfig(item.get().value(), sent);
                listener.onConfigRead();
            }
        });
    }

    /** Takes a configuration, from the store or from a peer, that was the newest one at the given time. */
    void applyConfig(byte[] document, ConfigState.Timestamp asOf) {
        try {
            if (configState.update(platform.readConfig(document), document, asOf)) {
                LOG.info("config: version {} is in force", configState.version());
                listener.onConfigChanged();
            }
        } catch (ConfigFormatException | RuntimeException e) {
            LOG.error("config: ignored a configuration that cannot be read", e);
        }
    }

    private void retryLater(Runnable action) {
        long delay = random.nextLong(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
        control.schedule(action, delay, TimeUnit.MILLISECONDS);
    }
}
