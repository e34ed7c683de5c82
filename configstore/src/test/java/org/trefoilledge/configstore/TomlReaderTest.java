package org.trefoilledge.configstore;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class TomlReaderTest {
    @Test
    void unknownKeyIsRefusedWithItsPosition() throws Exception {
        TomlReader reader = TomlReader.parse("node.toml", "host = \"a\"\n\n[log]\ncolour = true\n");
        reader.text("host");
        reader.section("log").text("format", "text");
        assertThatThrownBy(reader::finish).hasMessage("node.toml:4:1: unknown key colour: expected one of format");
    }

    @Test
    void wrongTypeIsRefusedWithItsPosition() throws Exception {
        TomlReader reader = TomlReader.parse("node.toml", "port = \"x\"");
        assertThatThrownBy(() -> reader.integer("port", 1, 9))
                .hasMessage("node.toml:1:1: port: expected a whole number from 1 to 9, but found: x");
    }

    @Test
    void missingKeyIsRefused() throws Exception {
        TomlReader reader = TomlReader.parse("node.toml", "");
        assertThatThrownBy(() -> reader.text("host")).hasMessage("node.toml:1:1: missing key host: expected a text");
    }

    @Test
    void brokenSyntaxIsRefusedWithItsPosition() {
        assertThatThrownBy(() -> TomlReader.parse("node.toml", "a = \n"))
                .isInstanceOf(SettingsException.class)
                .hasMessageStartingWith("node.toml:1:5: expected valid TOML");
    }

    @Test
    void absentNumberHasItsDefault() throws Exception {
        assertThat(TomlReader.parse("node.toml", "").integer("x", 1, 9, 5)).isEqualTo(5);
    }
}
