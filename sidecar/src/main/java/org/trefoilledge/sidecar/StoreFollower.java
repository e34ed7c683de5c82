package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.routing.ConfigRefreshPolicy;

/**
 * Reads the configuration, the nodes and the claims from the store. The collector of a zone, and nodes that receive no
 * response from a collector, watch the store for changes; other nodes only read the configuration if it has not been
 * confirmed recently. Used on the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the outcome of each call is recorded in StoreNotes
final class StoreFollower {
    private static final Logger LOG = LoggerFactory.getLogger(StoreFollower.class);
    /** Longest wait of a watch. A dead connection is detected only after this time and the timeout of the response. */
    private static final long WATCH_WAIT_MILLIS = 8_000;
    /** Delay before the next watch, so that a burst of changes, as at the start of a fleet, is fetched with one call. */
    private static final long WATCH_BATCH_DELAY_MILLIS = 500;

    private static final long MIN_RETRY_DELAY_MILLIS = 150;
    private static final long MAX_RETRY_DELAY_MILLIS = 600;
    /** Longest interval of the checks whether a read is due; the age can jump if the host was suspended. */
    private static final long MAX_AGE_CHECK_INTERVAL_MILLIS = 300;

    private static final long MIN_AGE_CHECK_INTERVAL_MILLIS = 10;

    private final EventLoop control;
    private final KeyValueStore store;
    private final StoreNotes notes;
    private final Platform platform;
    private final ConfigState configState;
    private final EvacuationState evacuations;
    private final Directory directory;
    private final StartupConfig startup;
    private final ConfigRefreshPolicy refreshPolicy;
    private final Clock clock;
    private final RandomGenerator random;
    private final Listener listener;
    private boolean watching;
    private boolean collecting;
    /** Whether the evacuations have changed since the last read that was sent. */
    private boolean evacuationsChanged;

    /** Incremented when watching starts or stops; responses to requests of an earlier generation are ignored. */
    private long generation;

    /** Receives notifications about data that was read from the store. */
    interface Listener {
        void onDirectoryChanged();

        void onConfigChanged();

        /** The configuration was read from the store, changed or not. Nodes that are notified can skip their reads. */
        void onConfigRead();
    }

    StoreFollower(
            EventLoop control,
            KeyValueStore store,
            StoreNotes notes,
            Platform platform,
            ConfigState configState,
            EvacuationState evacuations,
            Directory directory,
            StartupConfig startup,
            ConfigRefreshPolicy refreshPolicy,
            Clock clock,
            RandomGenerator random,
            Listener listener) {
        this.control = control;
        this.store = store;
        this.notes = notes;
        this.platform = platform;
        this.configState = configState;
        this.evacuations = evacuations;
        this.directory = directory;
        this.startup = startup;
        this.refreshPolicy = refreshPolicy;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
    }

    /** Reads the configuration at once, and the nodes and claims after a delay in which nodes can write their entries. */
    void start(long listDelayMillis) {
        readConfig();
        long first = ++generation;
        control.schedule(() -> listFleet(first, false), listDelayMillis, TimeUnit.MILLISECONDS);
        refreshWhenDue();
    }

    /** Starts or stops watching the store. Has no effect until the directory is complete. */
    void watching(boolean wanted) {
        if (wanted == watching || !directory.complete()) {
            return;
        }
        watching = wanted;
        generation++;
        if (wanted) {
            LOG.info("store: watching for changes");
            listFleet(generation, true);
        } else {
            LOG.info("store: stopped watching; the collector of the zone sends the changes");
        }
    }

    /**
     * Discards the revision up to which this node knows the store, because a restored store issues it again, and reads the
     * store from the start.
     */
    void onRestore() {
        generation++;
        if (watching) {
            readConfig();
        }
        if (watching || !directory.complete()) {
            listFleet(generation, watching);
        }
    }

    boolean isWatching() {
        return watching;
    }

    /** Sets whether this node is the collector of its zone, which reads the configuration more often. */
    void collecting(boolean current) {
        collecting = current;
    }

    private void listFleet(long requestGeneration, boolean thenWatch) {
        store.list(Directory.PREFIX).whenComplete((listing, error) -> {
            notes.recordCall("list", error);
            if (requestGeneration != generation) {
                return;
            }
            if (error != null) {
                retryLater(() -> listFleet(requestGeneration, thenWatch));
                return;
            }
            Repeated.runAndLogErrors(() -> {
                directory.applyStoreListing(listing.items(), clock.millis());
                listener.onDirectoryChanged();
            });
            if (thenWatch) {
                watch(requestGeneration, listing.revision());
            }
        });
    }

    private void watch(long requestGeneration, long revision) {
        if (requestGeneration != generation) {
            return;
        }
        ConfigState.Timestamp sent = configState.now();
        store.watch("", revision, WATCH_WAIT_MILLIS).whenComplete((result, error) -> {
            notes.recordCall("watch", error);
            if (requestGeneration != generation) {
                return;
            }
            if (error != null) {
                retryLater(() -> watch(requestGeneration, revision));
            } else if (result.historyLost()) {
                LOG.info("store: history of changes lost; listing again");
                readConfig();
                listFleet(requestGeneration, true);
            } else {
                Repeated.runAndLogErrors(() -> applyChanges(result.changes(), sent));
                long delay = result.changes().isEmpty() ? 0 : WATCH_BATCH_DELAY_MILLIS;
                control.schedule(() -> watch(requestGeneration, result.revision()), delay, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void applyChanges(List<KeyValueStore.Change> changes, ConfigState.Timestamp asOf) {
        List<KeyValueStore.Change> directoryChanges = new ArrayList<>();
        for (KeyValueStore.Change change : changes) {
            if (change.key().startsWith(Directory.PREFIX)) {
                directoryChanges.add(change);
            } else if (change.key().equals(platform.configKey())) {
                change.item().ifPresent(item -> applyStoreConfig(item.value(), asOf, ConfigSource.WATCH));
            } else if (evacuations.isActive() && change.key().startsWith(platform.evacuationPrefix())) {
                evacuationsChanged = true;
            }
        }
        if (evacuationsChanged) {
            // A watch does not tell when its changes were the newest state; a read that is sent now does.
            readConfig();
        }
        if (!directoryChanges.isEmpty()) {
            directory.applyStoreChanges(directoryChanges, clock.millis());
            listener.onDirectoryChanged();
        }
    }

    /** Reads the configuration if that is due, and schedules the next check. */
    private void refreshWhenDue() {
        if (millisUntilRead() == 0) {
            Repeated.runAndLogErrors(this::readConfig);
        }
        long delay =
                Math.max(MIN_AGE_CHECK_INTERVAL_MILLIS, Math.min(MAX_AGE_CHECK_INTERVAL_MILLIS, millisUntilRead()));
        control.schedule(this::refreshWhenDue, delay, TimeUnit.MILLISECONDS);
    }

    private long millisUntilRead() {
        long ageMillis = Math.max(configState.ageMillis(), evacuations.ageMillis());
        return refreshPolicy.millisUntilRead(ageMillis, collecting, clock.millis());
    }

    /** Sends a read even if an earlier one has not been answered, because that answer may be lost. */
    private void readConfig() {
        refreshPolicy.recordRead(clock.millis());
        ConfigState.Timestamp sent = configState.now();
        if (evacuations.isActive()) {
            readOperatorItems(sent);
            return;
        }
        store.read(platform.configKey()).whenComplete((item, error) -> {
            notes.recordCall("read", error);
            if (error == null && item.isPresent()) {
                applyStoreConfig(item.get().value(), sent, ConfigSource.READ);
                listener.onConfigRead();
            }
        });
    }

    private void applyStoreConfig(byte[] document, ConfigState.Timestamp asOf, ConfigSource source) {
        if (startup.acceptsFromStore(store.epoch(), configState.version() > 0, clock.millis())) {
            applyConfig(document, asOf, source);
        }
    }

    /** Reads the configuration and the evacuations with one call. */
    private void readOperatorItems(ConfigState.Timestamp sent) {
        long sentMillis = evacuations.now();
        boolean afterChange = evacuationsChanged;
        evacuationsChanged = false;
        store.list(platform.operatorPrefix()).whenComplete((listing, error) -> {
            notes.recordCall("list", error);
            if (error != null) {
                if (afterChange) {
                    evacuationsChanged = true;
                    retryLater(this::readConfig);
                }
                return;
            }
            Repeated.runAndLogErrors(() -> applyOperatorItems(listing.items(), sent, sentMillis));
        });
    }

    private void applyOperatorItems(List<KeyValueStore.Item> items, ConfigState.Timestamp sent, long sentMillis) {
        List<String> evacuated = new ArrayList<>();
        boolean configRead = false;
        for (KeyValueStore.Item item : items) {
            if (item.key().startsWith(platform.evacuationPrefix())) {
                evacuated.add(item.key().substring(platform.evacuationPrefix().length()));
            } else if (item.key().equals(platform.configKey())) {
                applyStoreConfig(item.value(), sent, ConfigSource.READ);
                configRead = true;
            }
        }
        evacuations.update(evacuated, sentMillis);
        if (configRead) {
            listener.onConfigRead();
        }
    }

    /** Applies a configuration document, from the store or from a peer, that was the newest one at the given time. */
    void applyConfig(byte[] document, ConfigState.Timestamp asOf, ConfigSource source) {
        long previousVersion = configState.version();
        long previousAgeMillis = configState.ageMillis();
        try {
            if (configState.update(platform.readConfig(document), document, asOf)) {
                notes.recordConfigChange(source, configState.version(), previousVersion, previousAgeMillis);
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
