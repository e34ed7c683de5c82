package org.trefoilledge.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.KeyDigest;

/** Concurrent operators, lost answers and outages: each command must end with the true outcome. */
class WriteOutcomeTest {
    @TempDir
    Path directory;

    private final MemoryStore store = new MemoryStore();
    private Session first;
    private Session second;

    @BeforeEach
    void applyInventory() {
        first = new Session(store, directory, "a");
        second = new Session(store, directory, "b");
        first.file("inventory.toml", Session.INVENTORY);
        first.file("bakery.toml", Session.INVENTORY.replace("rate = 5.0", "rate = 6.0"));
        first.file("school.toml", Session.INVENTORY.replace("rate = 10.0", "rate = 20.0"));
        first.file("bakery7.toml", Session.INVENTORY.replace("rate = 5.0", "rate = 7.0"));
        first.runWithStore("apply", "@inventory.toml");
    }

    @Test
    void loserOfARaceSeesWhatTheOtherChanged() {
        store.beforeNextSwap = () -> second.runWithStore("apply", "@school.toml");
        assertThat(first.runWithStore("apply", "@bakery.toml")).isEqualTo(ExitCode.FAILED);
        verify();
    }

    /** Guards against a second comparison with the file, which would undo the other operator's change. */
    @Test
    void onTopKeepsTheChangeOfTheOther() {
        store.beforeNextSwap = () -> second.runWithStore("apply", "@school.toml");
        assertThat(first.runWithStore("apply", "@bakery.toml", "--on-top")).isEqualTo(ExitCode.DONE);
        first.runWithStore("show");
        verify();
    }

    @Test
    void onTopIsRejectedWhenBothChangeTheSameItem() {
        store.beforeNextSwap = () -> second.runWithStore("apply", "@bakery7.toml");
        assertThat(first.runWithStore("apply", "@bakery.toml", "--on-top")).isEqualTo(ExitCode.FAILED);
        verify();
    }

    /** Guards against a file that was written before a change of another operator and would undo it. */
    @Test
    void olderBaseIsRejected() {
        second.runWithStore("apply", "@school.toml");
        assertThat(first.runWithStore("apply", "@bakery.toml", "--base", "1")).isEqualTo(ExitCode.FAILED);
        assertThat(first.runWithStore("apply", "@bakery.toml", "--base", "1", "--on-top"))
                .isEqualTo(ExitCode.DONE);
        assertThat(first.runWithStore("apply", "@bakery.toml", "--base", "9")).isEqualTo(ExitCode.FAILED);
        verify();
    }

    @Test
    void lostAnswerOfAWriteThatTookEffectIsAccepted() {
        store.swapFaults.add(MemoryStore.Fault.ANSWER_LOST);
        assertThat(first.runWithStore("apply", "@bakery.toml")).isEqualTo(ExitCode.DONE);
        verify();
    }

    @Test
    void lostRequestIsWrittenAgain() {
        store.swapFaults.add(MemoryStore.Fault.REQUEST_LOST);
        assertThat(first.runWithStore("apply", "@bakery.toml")).isEqualTo(ExitCode.DONE);
        assertThat(store.size()).isEqualTo(2);
    }

    /** Guards against success reported for the entry of another operator after the own answer was lost. */
    @Test
    void lostRequestWhoseRevisionAnotherTookIsRejected() {
        store.swapFaults.addAll(List.of(MemoryStore.Fault.REQUEST_LOST, MemoryStore.Fault.NONE));
        store.beforeNextSwap = () -> store.beforeNextSwap = () -> second.runWithStore("apply", "@school.toml");
        assertThat(first.runWithStore("apply", "@bakery.toml")).isEqualTo(ExitCode.FAILED);
        assertThat(first.transcript()).contains("revision 2 was taken first by operation 2-b1");
    }

    @Test
    void outageBeforeTheWriteIsAFailureWithoutEffect() {
        store.swapFaults.add(MemoryStore.Fault.UNAVAILABLE);
        assertThat(first.runWithStore("apply", "@bakery.toml")).isEqualTo(ExitCode.FAILED);
        store.readFaults.add(MemoryStore.Fault.UNAVAILABLE);
        assertThat(first.runWithStore("apply", "@bakery.toml", "--json")).isEqualTo(ExitCode.FAILED);
        assertThat(store.size()).isEqualTo(1);
        verify();
    }

    @Test
    void outcomeThatStaysUnknownNamesTheCommandThatFindsOut() {
        loseRequests(MemoryStore.Fault.REQUEST_LOST);
        assertThat(first.runWithStore("apply", "@bakery.toml")).isEqualTo(ExitCode.NOT_KNOWN);
        store.swapFaults.clear();
        assertThat(first.runWithStore("show", "--operation", "2-a2")).isEqualTo(ExitCode.NOT_KNOWN);
        second.runWithStore("apply", "@school.toml");
        assertThat(first.runWithStore("show", "--operation", "2-a2")).isEqualTo(ExitCode.FAILED);
        assertThat(first.runWithStore("show", "--operation", "2-b1")).isEqualTo(ExitCode.DONE);
        verify();
    }

    /** Guards against "nothing was changed" when an outage follows a write whose answer was lost. */
    @Test
    void outageAfterALostAnswerIsNotKnown() {
        loseRequests(MemoryStore.Fault.UNAVAILABLE);
        store.swapFaults.addFirst(MemoryStore.Fault.ANSWER_LOST);
        store.readFaults.add(MemoryStore.Fault.NONE);
        store.readFaults.addAll(Collections.nCopies(1_000, MemoryStore.Fault.UNAVAILABLE));
        assertThat(first.runWithStore("apply", "@bakery.toml")).isEqualTo(ExitCode.NOT_KNOWN);
        store.swapFaults.clear();
        store.readFaults.clear();
        assertThat(first.runWithStore("show", "--operation", "2-a2")).isEqualTo(ExitCode.DONE);
    }

    /** Guards against a granted key that nobody has: the caller needs it if the write took effect. */
    @Test
    void keyIsShownWhenTheOutcomeOfItsGrantIsNotKnown() {
        loseRequests(MemoryStore.Fault.REQUEST_LOST);
        assertThat(first.runWithStore("grant", "school")).isEqualTo(ExitCode.NOT_KNOWN);
        assertThat(first.transcript()).contains("key, shown only this once: random-key-of-a-1");
    }

    private void loseRequests(MemoryStore.Fault fault) {
        store.swapFaults.addAll(Collections.nCopies(1_000, fault));
    }

    @Test
    void grantOnTopOfARaceNeedsNoOption() {
        store.beforeNextSwap = () -> second.runWithStore("grant", "school");
        assertThat(first.runWithStore("grant", "school")).isEqualTo(ExitCode.DONE);
        assertThat(store.size()).isEqualTo(3);
    }

    /** Guards against lost or doubled entries when many operators write at once. */
    @Test
    void concurrentGrantsAllTakeEffectOnce() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(4);
        Set<String> keys = ConcurrentHashMap.newKeySet();
        try {
            List<Future<?>> running = new java.util.ArrayList<>();
            for (String name : List.of("w", "x", "y", "z")) {
                running.add(threads.submit(() -> {
                    Session session = new Session(store, directory, name);
                    for (int i = 0; i < 10; i++) {
                        session.file(name + i, "an-existing-key-" + name + i);
                        if (session.runWithStore("grant", "school", "--key-file", "@" + name + i) == ExitCode.DONE) {
                            keys.add(KeyDigest.of("an-existing-key-" + name + i).hex());
                        }
                    }
                }));
            }
            for (Future<?> future : running) {
                future.get();
            }
        } finally {
            threads.shutdownNow();
        }
        assertThat(first.runWithStore("show", "--json")).isEqualTo(ExitCode.DONE);
        assertThat(keys).isNotEmpty().allSatisfy(key -> assertThat(first.lastOutput())
                .containsOnlyOnce(key));
        assertThat(store.size()).isEqualTo(1 + keys.size());
    }

    @Test
    void waitsUntilNodesReportTheRevision() {
        first.nodeAnswers.put("127.0.0.1:8083/status", "{\"revision\":0}");
        store.beforeNextSwap = () -> first.nodeAnswers.put("127.0.0.1:8083/status", "{\"revision\":2}");
        first.runWithStore("apply", "@bakery.toml", "--node", "127.0.0.1:8083", "--wait", "5");
        first.nodeAnswers.remove("127.0.0.1:8083/status");
        assertThat(first.runWithStore("apply", "@school.toml", "--node", "127.0.0.1:8083", "--wait", "5"))
                .isEqualTo(ExitCode.NOT_KNOWN);
        verify();
    }

    /** Guards against writing into a store that lost or replaced entries which nodes have in force. */
    @Test
    void writeIsRefusedWhenANodeHasAnotherHistory() {
        first.nodeAnswers.put("127.0.0.1:8083/status", "{\"revision\":5,\"digest\":\"00\"}");
        first.nodeAnswers.put("127.0.0.1:9083/status", "{\"revision\":1,\"digest\":\"00\"}");
        first.runWithStore("apply", "@bakery.toml", "--node", "127.0.0.1:8083");
        first.runWithStore("apply", "@bakery.toml", "--node", "127.0.0.1:9083");
        assertThat(store.size()).isEqualTo(1);
        verify();
    }

    @Test
    void brokenChainInTheStoreIsRefused() {
        store.put(
                "config/log/0000000002",
                "{\"revision\":2,\"operation\":\"x\",\"previousDigest\":\"00\",\"changes\":[]}");
        first.runWithStore("apply", "@bakery.toml");
        store.put("config/log/0000000002", "no JSON");
        first.runWithStore("show");
        verify();
    }

    /** Guards against an old inventory file that silently grants a withdrawn key again. */
    @Test
    void fileDoesNotGrantAWithdrawnKeyAgain() {
        String digest = KeyDigest.of("an-existing-key-of-the-bakery").hex();
        String keys = "burst = 5\nkey-digests = [\"" + digest + "\"]";
        first.file("keys.toml", Session.INVENTORY.replace("burst = 5", keys));
        assertThat(first.runWithStore("apply", "@keys.toml")).isEqualTo(ExitCode.DONE);
        assertThat(second.runWithStore("withdraw", digest)).isEqualTo(ExitCode.DONE);
        assertThat(first.runWithStore("apply", "@keys.toml")).isEqualTo(ExitCode.FAILED);
        assertThat(first.runWithStore("apply", "@keys.toml", "--grant-again")).isEqualTo(ExitCode.DONE);
        verify();
    }

    /** Guards against digests of a re-encoded entry, which differ when another version wrote it. */
    @Test
    void entryInAnotherLayoutIsChainedByItsStoredBytes() throws Exception {
        String digest =
                ConfigCodec.digest(store.read(ConfigWriter.key(1)).orElseThrow().value());
        store.put(
                ConfigWriter.key(2),
                "{\"revision\": 2, \"operation\": \"x\", \"previousDigest\": \"" + digest + "\", \"changes\": []}");
        assertThat(first.runWithStore("apply", "@bakery.toml")).isEqualTo(ExitCode.DONE);
        assertThat(first.runWithStore("show")).isEqualTo(ExitCode.DONE);
    }

    /** Guards against a value that the store cannot hold: its limit is 1 MB. */
    @Test
    void inventoryOfOneMegabyteIsRefusedBeforeTheWrite() {
        StringBuilder text = new StringBuilder(Session.INVENTORY);
        for (int i = 0; i < 12_000; i++) {
            text.append(
                    "[[organisation]]\nid = \"organisation-with-a-long-name-%d\"\nrate = 5\nburst = 5\n".formatted(i));
        }
        first.file("large.toml", text.toString());
        assertThat(first.runWithStore("apply", "@large.toml")).isEqualTo(ExitCode.FAILED);
        assertThat(store.size()).isEqualTo(1);
        verify();
    }

    private void verify() {
        Approvals.verify(first.transcript());
    }
}
