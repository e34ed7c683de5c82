package org.trefoilledge.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.configstore.EtcdSettings;
import org.trefoilledge.configstore.EtcdStore;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.configstore.StoreOutcomeUnknownException;
import org.trefoilledge.configstore.StoreUnavailableException;
import org.trefoilledge.configstore.StoredValue;
import org.trefoilledge.configstore.Watch;

class EtcdStoreTest {
    private StoreStandin standin;
    private EtcdStore store;

    @BeforeEach
    void start() throws Exception {
        standin = StoreStandin.start();
        store = new EtcdStore(EtcdSettings.of(List.of(standin.endpoint()), "a-1,zone-a"));
    }

    @AfterEach
    void stop() {
        store.close();
        standin.close();
    }

    @Test
    void absentKeyReadsAsEmpty() throws Exception {
        assertThat(store.read("a")).isEmpty();
    }

    @Test
    void writtenValueIsReadWithItsRevision() throws Exception {
        StoredValue written = store.swap("a", 0, "bäckerei").orElseThrow();
        assertThat(store.read("a")).contains(written);
    }

    /** Guards against a create that overwrites an entry of another writer. */
    @Test
    void createOfAnExistingKeyFails() throws Exception {
        store.swap("a", 0, "first");
        assertThat(store.swap("a", 0, "second")).isEmpty();
        assertThat(store.read("a").orElseThrow().value()).isEqualTo("first");
    }

    @Test
    void swapWithTheLastRevisionReplacesTheValue() throws Exception {
        StoredValue first = store.swap("a", 0, "first").orElseThrow();
        assertThat(store.swap("a", first.modRevision(), "second")).isPresent();
    }

    @Test
    void rangeIsOrderedAndLimited() throws Exception {
        for (String key : List.of("k/3", "k/1", "k/2", "l/1")) {
            store.swap(key, 0, key);
        }
        assertThat(store.range("k/1", "k0", 2)).extracting(StoredValue::key).containsExactly("k/1", "k/2");
    }

    /** Guards against a lost response being reported as a failure although the write took effect. */
    @Test
    void lostResponseToAWriteIsReportedAsUnknown() throws Exception {
        standin.apply(StoreFaults.NONE.withLoseWriteAnswers(1));
        assertThatThrownBy(() -> store.swap("a", 0, "x")).isInstanceOf(StoreOutcomeUnknownException.class);
        assertThat(store.read("a").orElseThrow().value()).isEqualTo("x");
    }

    @Test
    void refusedConnectionIsReportedAsUnavailable() throws Exception {
        standin.close();
        assertThatThrownBy(() -> store.swap("a", 0, "x")).isInstanceOf(StoreUnavailableException.class);
    }

    @Test
    void readDuringAnOutageIsReportedAsUnavailable() {
        standin.apply(StoreFaults.NONE.withDown(true));
        assertThatThrownBy(() -> store.read("a")).isInstanceOf(StoreUnavailableException.class);
    }

    @Test
    void callsSucceedAfterAnOutage() throws Exception {
        standin.apply(StoreFaults.NONE.withDown(true));
        assertThatThrownBy(() -> store.read("a")).isInstanceOf(StoreException.class);
        standin.apply(StoreFaults.NONE);
        assertThat(store.swap("a", 0, "x")).isPresent();
    }

    /** Guards against a timeout being reported as a failure: a slow write may take effect later. */
    @Test
    void slowWriteIsReportedAsUnknownAndTakesEffectLater() throws Exception {
        standin.apply(StoreFaults.NONE.withDelayMillis(300));
        try (EtcdStore impatientStore = new EtcdStore(new EtcdSettings(List.of(standin.endpoint()), "a-1", 50))) {
            assertThatThrownBy(() -> impatientStore.swap("a", 0, "x")).isInstanceOf(StoreOutcomeUnknownException.class);
        }
        Thread.sleep(600);
        assertThat(store.read("a")).isPresent();
    }

    @Test
    void blockedClientGetsNoResponse() throws Exception {
        standin.apply(StoreFaults.NONE.withBlockedClients(List.of("zone-a")));
        assertThatThrownBy(() -> store.read("a")).isInstanceOf(StoreUnavailableException.class);
        try (EtcdStore other = new EtcdStore(EtcdSettings.of(List.of(standin.endpoint()), "b-1,zone-b"))) {
            assertThat(other.read("a")).isEmpty();
        }
    }

    @Test
    void valueOfOneMegabyteIsAccepted() throws Exception {
        assertThat(store.swap("a", 0, "x".repeat(1024 * 1024))).isPresent();
        assertThat(store.read("a").orElseThrow().value()).hasSize(1024 * 1024);
    }

    /** Guards against a definite rejection being reported as unavailable, which invites a retry, or as unknown. */
    @Test
    void valueOverOneMegabyteIsRejected() {
        assertThatThrownBy(() -> store.swap("a", 0, "x".repeat(1024 * 1024 + 1)))
                .isExactlyInstanceOf(StoreException.class)
                .hasMessageContaining("request is too large");
    }

    @Test
    void callsAboveTheRateAreReportedAsUnavailable() throws Exception {
        try (StoreStandin slow = StoreStandin.start("127.0.0.1:0", new StoreLimits(1, 1, 0));
                EtcdStore client = new EtcdStore(EtcdSettings.of(List.of(slow.endpoint()), "a-1"))) {
            client.swap("a", 0, "x");
            assertThatThrownBy(() -> client.swap("b", 0, "x")).isInstanceOf(StoreUnavailableException.class);
        }
    }

    @Test
    void readsAndWritesFailOverWhenAConnectionIsRefused() throws Exception {
        int unused;
        try (ServerSocket socket = new ServerSocket(0)) {
            unused = socket.getLocalPort();
        }
        List<String> endpoints = List.of("http://127.0.0.1:" + unused, standin.endpoint());
        try (EtcdStore client = new EtcdStore(EtcdSettings.of(endpoints, "a-1"))) {
            assertThat(client.swap("a", 0, "x")).isPresent();
            assertThat(client.read("a")).isPresent();
        }
    }

    /** Guards against an unresponsive endpoint that consumes the timeout of the whole call. */
    @Test
    void readFailsOverWhenAnEndpointDoesNotRespond() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            List<String> endpoints = List.of("http://127.0.0.1:" + silent.getLocalPort(), standin.endpoint());
            try (EtcdStore client = new EtcdStore(EtcdSettings.of(endpoints, "a-1"))) {
                assertThat(client.read("a")).isEmpty();
            }
        }
    }

    /** Guards against a write being sent twice: the unresponsive endpoint may have executed it. */
    @Test
    void writeIsUnknownWhenAnEndpointDoesNotRespondAndTheNextFailsOver() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            List<String> endpoints = List.of("http://127.0.0.1:" + silent.getLocalPort(), standin.endpoint());
            try (EtcdStore client = new EtcdStore(new EtcdSettings(endpoints, "a-1", 200))) {
                assertThatThrownBy(() -> client.swap("a", 0, "x")).isInstanceOf(StoreOutcomeUnknownException.class);
                assertThat(client.swap("a", 0, "y")).isPresent();
            }
        }
    }

    @Test
    void watchDeliversChangesBelowItsPrefix() throws Exception {
        BlockingQueue<StoredValue> seen = new LinkedBlockingQueue<>();
        try (Watch watch = store.watch("config/", seen::add)) {
            store.swap("other", 0, "x");
            StoredValue written = store.swap("config/log/1", 0, "y").orElseThrow();
            assertThat(seen.poll(5, TimeUnit.SECONDS)).isEqualTo(written);
            assertThat(watch.active()).isTrue();
        }
    }

    /** Guards against reliance on the watch alone: events may be missing although the watch is active. */
    @Test
    void missedWatchEventIsVisibleToARead() throws Exception {
        BlockingQueue<StoredValue> seen = new LinkedBlockingQueue<>();
        try (Watch watch = store.watch("config/", seen::add)) {
            standin.apply(StoreFaults.NONE.withDropWatchEvents(1));
            store.swap("config/log/1", 0, "y");
            assertThat(seen.poll(200, TimeUnit.MILLISECONDS)).isNull();
            assertThat(watch.active()).isTrue();
        }
        assertThat(store.read("config/log/1")).isPresent();
    }

    @Test
    void watchEndsWhenTheStoreGoesDown() throws Exception {
        try (Watch watch = store.watch("config/", value -> {})) {
            standin.apply(StoreFaults.NONE.withDown(true));
            Await.until(() -> !watch.active());
        }
    }

    @Test
    void closedWatchDeliversNothing() throws Exception {
        BlockingQueue<StoredValue> seen = new LinkedBlockingQueue<>();
        store.watch("config/", seen::add).close();
        store.swap("config/log/1", 0, "y");
        assertThat(seen.poll(200, TimeUnit.MILLISECONDS)).isNull();
    }

    @Test
    void restoreReturnsToTheSavedContent() throws Exception {
        store.swap("a", 0, "x");
        standin.save();
        store.swap("b", 0, "y");
        standin.restore();
        assertThat(store.read("a")).isPresent();
        assertThat(store.read("b")).isEmpty();
    }

    @Test
    void callsAreCountedByKind() throws Exception {
        store.read("a");
        store.swap("a", 0, "x");
        store.watch("a", value -> {}).close();
        assertThat(standin.callCounts())
                .containsEntry("range", 1L)
                .containsEntry("txn", 1L)
                .containsEntry("watch", 1L);
    }
}
