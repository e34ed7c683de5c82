package org.trefoilledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.trefoilledge.configstore.AppendResult;
import org.trefoilledge.configstore.ConfigStore;
import org.trefoilledge.configstore.EtcdSettings;
import org.trefoilledge.configstore.EtcdStore;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.ConfigLog;

class ConfigRaceTest {
    private static final int WRITER_COUNT = 8;
    private static final int APPENDS_PER_WRITER = 12;

    /** Guards against the same revision being reported as accepted to two concurrent writers. */
    @Test
    void acceptedRevisionsAreUniqueAndMatchTheLog() throws Exception {
        checkAcceptedRevisions(StoreFaults.NONE);
    }

    /** Guards against a wrong outcome when a third of the write responses is lost and writers must read it back. */
    @Test
    void acceptedRevisionsAreUniqueAndMatchTheLogWhenResponsesAreLost() throws Exception {
        checkAcceptedRevisions(StoreFaults.NONE.withLoseWriteAnswers(0.33));
    }

    private static void checkAcceptedRevisions(StoreFaults faults) throws Exception {
        try (StoreStandin standin = StoreStandin.start("127.0.0.1:0", new StoreLimits(100_000, 100_000, 1))) {
            standin.apply(faults);
            Map<Long, String> accepted = appendConcurrently(standin);
            standin.apply(StoreFaults.NONE);
            assertThat(readOperations(standin)).isEqualTo(accepted);
            assertThat(accepted).hasSize(WRITER_COUNT * APPENDS_PER_WRITER);
        }
    }

    private static Map<Long, String> appendConcurrently(StoreStandin standin) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(WRITER_COUNT);
        try {
            List<Callable<Map<Long, String>>> writers = new ArrayList<>();
            for (int i = 0; i < WRITER_COUNT; i++) {
                String name = "writer-" + i;
                writers.add(() -> appendAll(standin, name));
            }
            Map<Long, String> all = new HashMap<>();
            for (Future<Map<Long, String>> writer : threads.invokeAll(writers)) {
                for (Map.Entry<Long, String> entry : writer.get().entrySet()) {
                    assertThat(all.put(entry.getKey(), entry.getValue())).isNull();
                }
            }
            return all;
        } finally {
            threads.shutdownNow();
        }
    }

    private static Map<Long, String> appendAll(StoreStandin standin, String name) throws Exception {
        Map<Long, String> accepted = new HashMap<>();
        try (EtcdStore store = new EtcdStore(new EtcdSettings(List.of(standin.endpoint()), name, 10_000))) {
            ConfigStore config = new ConfigStore(store);
            while (accepted.size() < APPENDS_PER_WRITER) {
                String operation = name + "-" + accepted.size();
                AppendResult result = append(config, operation);
                if (result instanceof AppendResult.Accepted success) {
                    accepted.put(success.revision(), operation);
                } else {
                    assertThat(result).isInstanceOf(AppendResult.Taken.class);
                }
            }
        }
        return accepted;
    }

    private static AppendResult append(ConfigStore config, String operation) throws Exception {
        long head = config.head(0);
        String digest = head == 0 ? "" : ConfigCodec.digest(config.entry(head).orElseThrow());
        return config.append(ConfigStoreTest.entry(head + 1, operation, digest));
    }

    /** Returns the operation of each revision, and checks that {@link ConfigLog} applies the whole log. */
    private static Map<Long, String> readOperations(StoreStandin standin) throws Exception {
        Map<Long, String> operations = new HashMap<>();
        try (EtcdStore store = new EtcdStore(EtcdSettings.of(List.of(standin.endpoint()), "reader"))) {
            ConfigLog log = new ConfigLog();
            for (byte[] encoded : entries(store)) {
                assertThat(log.offer(encoded)).isEqualTo(ConfigLog.OfferResult.APPLIED);
                operations.put(log.revision(), ConfigCodec.decode(encoded).operation());
            }
        }
        return operations;
    }

    private static List<byte[]> entries(EtcdStore store) throws StoreException {
        return new ConfigStore(store).entries(1, 1_000);
    }
}
