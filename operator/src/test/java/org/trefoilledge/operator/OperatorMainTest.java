package org.trefoilledge.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.KeyDigest;

/** Shows each command's output to a reviewer. Approved files hold the whole transcript, with exit codes. */
class OperatorMainTest {
    @TempDir
    Path directory;

    private Session session;

    @BeforeEach
    void start() {
        session = new Session(new MemoryStore(), directory, "a");
        session.file("inventory.toml", Session.INVENTORY);
    }

    @Test
    void help() {
        session.run("--help");
        for (String command :
                List.of("validate", "diff", "apply", "show", "grant", "withdraw", "drain", "status", "explain")) {
            session.run(command, "--help");
        }
        session.run("zone", "reset", "--help");
        verify();
    }

    @Test
    void wrongUsage() {
        session.run();
        session.run("aply", "@inventory.toml");
        session.run("apply", "@inventory.toml");
        session.run("apply", "@inventory.toml", "--store", "127.0.0.1:2379");
        session.run("status", "--node", "cairo:99999");
        session.runWithStore("grant", "School");
        session.runWithStore("apply", "@inventory.toml", "--wait", "5");
        session.runWithStore("show", "--operation", "x");
        verify();
    }

    @Test
    void validate() {
        session.file("zero.toml", Session.INVENTORY.replace("rate = 5.0", "rate = 0.0"));
        session.file("twice.toml", Session.INVENTORY.replace("\"school\"", "\"bakery\""));
        session.file("broken.toml", Session.INVENTORY.replace("slots = 10", "slots = = 10"));
        session.run("validate", "@inventory.toml");
        session.run("validate", "@inventory.toml", "--json");
        session.run("validate", "@zero.toml");
        session.run("validate", "@zero.toml", "--json");
        session.run("validate", "@twice.toml");
        session.run("validate", "@broken.toml");
        verify();
    }

    @Test
    void diffAndApply() {
        session.file("changed.toml", changed());
        session.runWithStore("diff", "@inventory.toml");
        session.runWithStore("apply", "@inventory.toml");
        session.runWithStore("diff", "@changed.toml", "--json");
        session.runWithStore("apply", "@changed.toml", "--json");
        session.runWithStore("apply", "@changed.toml");
        session.runWithStore("show");
        session.runWithStore("show", "--json");
        verify();
    }

    private static String changed() {
        return Session.INVENTORY.replace("rate = 5.0", "rate = 6.0").replace("critical", "high")
                + "[rules]\ndefault-deadline-ms = 1000\n";
    }

    @Test
    void fixedPartsCannotChange() {
        session.runWithStore("apply", "@inventory.toml");
        session.file("zones.toml", Session.INVENTORY.replace("[\"a\", \"b\"]", "[\"a\", \"c\"]"));
        session.file("shards.toml", Session.INVENTORY + "[rules]\nshards-per-zone = 8\n");
        session.file("other.toml", Session.INVENTORY.replace("\"test\"", "\"other\""));
        session.runWithStore("apply", "@zones.toml");
        session.runWithStore("apply", "@shards.toml");
        session.runWithStore("apply", "@other.toml");
        session.runWithStore("diff", "@shards.toml");
        verify();
    }

    @Test
    void grantAndWithdraw() {
        session.file("key", "an-existing-key-of-the-school\n");
        session.file("short", "secret\n");
        session.runWithStore("apply", "@inventory.toml");
        session.runWithStore("grant", "school");
        session.runWithStore("grant", "school", "--key-file", "@key");
        session.runWithStore("grant", "school", "--key-file", "@key");
        session.runWithStore("grant", "bakery", "--key-file", "@key");
        session.runWithStore("grant", "nobody");
        session.runWithStore("grant", "school", "--key-file", "@short");
        session.runWithStore("withdraw", "@key");
        session.runWithStore("withdraw", KeyDigest.of("random-key-of-a-1").hex());
        session.runWithStore("withdraw", "@key");
        session.runWithStore("show");
        verify();
    }

    /** Guards against a key that gets into the store: only its digest may. */
    @Test
    void storeHoldsNoKey() throws Exception {
        session.runWithStore("apply", "@inventory.toml");
        session.runWithStore("grant", "school");
        assertThat(session.lastOutput()).contains("random-key-of-a-1");
        assertThat(session.store.range("", "~", 100).toString())
                .contains(KeyDigest.of("random-key-of-a-1").hex())
                .doesNotContain("random-key-of-a-1");
    }

    @Test
    void drain() throws Exception {
        session.runWithStore("apply", "@inventory.toml");
        session.runWithStore("drain", "host-1");
        session.runWithStore("drain", "host-1");
        session.runWithStore("apply", "@inventory.toml");
        session.runWithStore("drain", "host-1", "--undo");
        String digest = ConfigCodec.digest(
                session.store.read(ConfigWriter.key(3)).orElseThrow().value());
        session.nodeAnswers.put("127.0.0.1:8083/status", status("h1", 3).replace("0123456789abcdef", digest));
        session.runWithStore("drain", "h3", "--node", "127.0.0.1:8083");
        session.runWithStore("drain", "h2", "--node", "127.0.0.1:8083");
        verify();
    }

    @Test
    void zoneReset() {
        session.runWithStore("zone", "reset", "a");
        session.store.put(
                "zones/a",
                """
                {"version":7,"members":[{"host":"h1","incarnation":5,"address":"127.0.0.1:8082","state":"active"}],
                 "shards":["h1","h1"],"settled":true,"operation":"x"}""");
        session.runWithStore("zone", "reset", "a");
        session.runWithStore("zone", "reset", "a", "--panel-stopped");
        session.store.swapFaults.add(MemoryStore.Fault.ANSWER_LOST);
        session.runWithStore("zone", "reset", "a", "--panel-stopped");
        session.store.swapFaults.addAll(Collections.nCopies(1_000, MemoryStore.Fault.REQUEST_LOST));
        session.runWithStore("zone", "reset", "a", "--panel-stopped");
        verify();
    }

    @Test
    void status() {
        session.nodeAnswers.put("127.0.0.1:8083/status", status("h1", 4));
        session.nodeAnswers.put(
                "127.0.0.1:9083/status",
                status("h2", 3)
                        .replace("\"isolated\":false", "\"isolated\":true")
                        .replace("\"storeReachable\":true", "\"storeReachable\":false")
                        .replace("\"authority\":true", "\"authority\":false"));
        session.run("status", "--node", "127.0.0.1:8083", "--node", "127.0.0.1:9083", "--members");
        session.run("status", "--node", "127.0.0.1:8083", "--json");
        session.run("status", "--node", "127.0.0.1:8083", "--node", "127.0.0.1:1");
        verify();
    }

    private static String status(String host, int revision) {
        return """
                {"host":"%s","zone":"a","incarnation":5,"service":"orders","upstreamState":"serving","revision":%d,
                 "digest":"0123456789abcdef","storeReachable":true,"storeAgeSeconds":42,"isolated":false,
                 "members":[{"host":"h1","zone":"a","service":"orders","state":"serving","slots":10,"revision":4},
                            {"host":"h2","zone":"b","service":"orders","state":"draining","slots":10,"revision":3}],
                 "shards":[0,2,5],"authority":true,"inFlight":7,"limit":9,"queueDelayMillis":12,"admissionLevel":310}
                """
                .formatted(host, revision);
    }

    @Test
    void explain() {
        session.nodeAnswers.put(
                "127.0.0.1:8083/explain?request=r-1",
                """
                [{"request":"r-1","atMillisAgo":1200,"organisation":"school","route":"submit","kind":"PLACED",
                  "stage":"place","reason":"host h2, in flight 3"}]""");
        session.nodeAnswers.put(
                "127.0.0.1:9083/explain?request=r-1",
                """
                [{"request":"r-1","atMillisAgo":1195,"organisation":"school","route":"submit","kind":"OVERLOADED",
                  "stage":"guard","reason":"queue full for class high"}]""");
        session.nodeAnswers.put("127.0.0.1:8083/explain?request=r-2", "[]");
        session.nodeAnswers.put("127.0.0.1:8083/explain", "[]");
        session.run("explain", "r-1", "--node", "127.0.0.1:9083", "--node", "127.0.0.1:8083");
        session.run("explain", "r-1", "--node", "127.0.0.1:9083", "--json");
        session.run("explain", "r-2", "--node", "127.0.0.1:8083");
        session.run("explain", "--node", "127.0.0.1:8083");
        session.run("explain", "--node", "127.0.0.1:1");
        verify();
    }

    private void verify() {
        Approvals.verify(session.transcript());
    }
}
