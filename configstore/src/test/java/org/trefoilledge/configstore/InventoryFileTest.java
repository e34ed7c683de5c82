package org.trefoilledge.configstore;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.KeyDigest;

class InventoryFileTest {
    private static final String VALID =
            """
            deployment = "test"
            zones = ["a", "b"]
            [[service]]
            id = "orders"
            slots = 10
            connections = 100
            [[organisation]]
            id = "school"
            rate = 10.0
            burst = 10
            key-digests = ["%s"]
            [[route]]
            id = "submit"
            method = "POST"
            path = "/orders"
            service = "orders"
            importance = "critical"
            [rules]
            attempt-budget = 3
            """
                    .formatted(KeyDigest.of("k").hex());

    @ParameterizedTest
    @ValueSource(strings = {"nilebadge", "haneul"})
    void sampleHasEightOrganisationsWithTheSampleKeys(String name) throws Exception {
        Inventory inventory =
                InventoryFile.read(Path.of("../samples/" + name + ".toml")).inventory();
        assertThat(inventory.organisations()).hasSize(8);
        assertThat(inventory.organisations().values()).allSatisfy(organisation -> assertThat(organisation.keys())
                .containsExactly(KeyDigest.of("sample-key-" + organisation.id())));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
        rate = 10.0             | rate = 0                 | test.toml:9:1: rate: expected a number from 0.001 to 1.0E9, but found: 0
        rate = 10.0             | rate = -1.5              | test.toml:9:1: rate: expected a number from 0.001 to 1.0E9, but found: -1.5
        rate = 10.0             | rate = nan               | test.toml:9:1: rate: expected a number from 0.001 to 1.0E9, but found: NaN
        rate = 10.0             | rate = inf               | test.toml:9:1: rate: expected a number from 0.001 to 1.0E9, but found: Infinity
        burst = 10              | burst = 0.5              | test.toml:10:1: burst: expected a number from 1.0 to 1.0E9, but found: 0.5
        slots = 10              | slots = 0                | test.toml:5:1: slots: expected a whole number from 1 to 100000, but found: 0
        connections = 100       | connections = "many"     | test.toml:6:1: connections: expected a whole number from 1 to 1000000, but found: many
        service = "orders"      | service = "prints"       | test.toml:16:1: service: expected the id of a [[service]] of this file, but found: prints
        importance = "critical" | importance = "urgent"    | test.toml:17:1: importance: expected one of critical, high, normal, low, but found: urgent
        method = "POST"         | method = "post"          | test.toml:14:1: method: expected an HTTP method in upper case, but found: post
        path = "/orders"        | path = "orders"          | test.toml:15:1: path: expected a valid path: route submit: path must start with / and have no query, but was: orders
        zones = ["a", "b"]      | zones = ["a", "a"]       | test.toml:2:1: zones: expected each zone only once, but found twice: a
        zones = ["a", "b"]      | zones = []               | test.toml:2:1: zones: expected a list of at least one zone
        attempt-budget = 3      | attempt-budget = 101     | test.toml:19:1: attempt-budget: expected a whole number from 0 to 100, but found: 101
        id = "school"           | id = "School"            | test.toml:8:1: id: expected 1 to 64 lower-case letters, digits, dots and hyphens, starting and ending with a letter or digit, but found: School
        burst = 10              | brust = 10               | test.toml:7:1: missing key burst: expected a number from 1.0 to 1.0E9
        slots = 10              | slots = 10 11            | test.toml:5:12: expected valid TOML, but found: Unexpected '11', expected a newline or end-of-input
        """)
    void mistakeIsRefusedWithItsPositionAndWhatWasExpected(String correct, String mistake, String message) {
        assertThatThrownBy(() -> InventoryFile.parse("test.toml", VALID.replace(correct, mistake)))
                .isInstanceOf(SettingsException.class)
                .hasMessage(message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
        [[service]]\\nid = "orders"\\nslots = 1\\nconnections = 1                            | test.toml:21:1: id: expected an id that no other service has, but found: orders
        [[organisation]]\\nid = "school"\\nrate = 1\\nburst = 1                              | test.toml:21:1: id: expected an id that no other organisation has, but found: school
        [[route]]\\nid = "x"\\nmethod = "POST"\\npath = "/orders"\\nservice = "orders"\\nimportance = "low" | test.toml:23:1: path: expected a method and path that route submit does not have, but found: /orders
        """)
    void duplicateIsRefusedWithItsPosition(String addition, String message) {
        String text = VALID + addition.replace("\\n", "\n") + "\n";
        assertThatThrownBy(() -> InventoryFile.parse("test.toml", text)).hasMessage(message);
    }

    /** Guards against an error that shows a key which was pasted instead of its digest. */
    @ParameterizedTest
    @ValueSource(strings = {"[\"plain-secret-key\"]", "\"plain-secret-key\""})
    void keyInPlaceOfADigestIsRefusedWithoutShowingIt(String pasted) {
        String text = VALID.replaceAll("key-digests.*", "key-digests = " + pasted);
        assertThatThrownBy(() -> InventoryFile.parse("test.toml", text))
                .hasMessageStartingWith("test.toml:11:1: key-digests: expected ")
                .hasMessageNotContaining("plain-secret-key");
    }

    /** Guards against withdrawing keys, or ending a drain, that the file does not mention. */
    @Test
    void fileWithoutKeysAndHostsKeepsThoseInForce() throws Exception {
        Inventory current = InventoryFile.parse("test.toml", VALID)
                .inventory()
                .with(List.of(new Change.DrainHost(new HostId("h1"))));
        String withoutKeys = VALID.replaceAll("key-digests.*\n", "");
        assertThat(InventoryFile.parse("test.toml", withoutKeys).over(current)).isEqualTo(current);
    }

    @Test
    void emptyListOfKeysWithdrawsThem() throws Exception {
        Inventory current = InventoryFile.parse("test.toml", VALID).inventory();
        String noKeys = VALID.replaceAll("key-digests.*\n", "key-digests = []\n");
        assertThat(InventoryFile.parse("test.toml", noKeys)
                        .over(current)
                        .organisations()
                        .get(new OrganisationId("school"))
                        .keys())
                .isEmpty();
    }

    /** Guards against a reader whose cost grows with the square of the file. */
    @Test
    void inventoryOfOneMegabyteIsRead() {
        StringBuilder text = new StringBuilder(VALID.replaceAll("(?s)\\[rules].*", ""));
        for (int i = 0; text.length() < 1_000_000; i++) {
            text.append("[[organisation]]\nid = \"o%d\"\nrate = 5\nburst = 5\nkey-digests = [\"%s\"]\n"
                    .formatted(i, KeyDigest.of("k" + i).hex()));
        }
        Inventory inventory =
                Assertions.assertTimeout(Duration.ofSeconds(30), () -> InventoryFile.parse("test.toml", text.toString())
                        .inventory());
        assertThat(inventory.organisations()).hasSizeGreaterThan(5_000);
    }
}
