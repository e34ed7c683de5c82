package org.trefoilledge.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.trefoilledge.configstore.TomlReader;

class NodeSettingsTest {
    private static final String VALID =
            """
            host = "a-1"
            zone = "a"
            deployment = "test"

            [listen]
            callers = "127.0.0.1:1"
            local = "127.0.0.1:2"
            peers = "127.0.0.1:3"
            operators = "127.0.0.1:4"

            [store]
            endpoints = ["http://127.0.0.1:5"]
            """;

    @Test
    void absentSettingsHaveTheirDefaults() throws Exception {
        assertThat(read(VALID).limits().isolatedGraceMillis()).isEqualTo(10_000);
    }

    @Test
    void unknownKeyIsRefusedWithLineAndColumn() {
        assertThatThrownBy(() -> read(VALID + "\n[policy]\nshedings = true\n"))
                .hasMessageStartingWith("node.toml:15:1: unknown key shedings: expected one of");
    }

    @Test
    void hostNameInPlaceOfAnIpAddressIsRefused() {
        assertThatThrownBy(() -> read(VALID.replace("127.0.0.1:1\"", "example:1\"")))
                .hasMessageContaining("expected an IP address and port");
    }

    @Test
    void endpointWithoutSchemeIsRefused() {
        assertThatThrownBy(() -> read(VALID.replace("http://127.0.0.1:5", "127.0.0.1:5")))
                .hasMessageContaining("node.toml:12:1: endpoints: expected base URLs");
    }

    @Test
    void wrongLogFormatIsRefused() {
        assertThatThrownBy(() -> read(VALID + "\n[log]\nformat = \"xml\"\n"))
                .hasMessageContaining("format: expected one of text, json");
    }

    private static NodeSettings read(String text) throws Exception {
        return NodeSettings.from(TomlReader.parse("node.toml", text));
    }
}
