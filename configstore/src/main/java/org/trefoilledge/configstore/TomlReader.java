package org.trefoilledge.configstore;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads a TOML file with checks. Each value is asked for with its type and range; {@link #finish()} then refuses keys
 * that nobody asked for. Every error names file, line, column and what was expected.
 */
public final class TomlReader {
    private static final Pattern ADDRESS = Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:.]+\\]):([0-9]{1,5})");
    private static final String EXPECTED_ADDRESS = "an IP address and port such as 127.0.0.1:8080";

    private final String file;
    private final TomlTable table;
    private final TomlPosition start;
    private final Set<String> known = new HashSet<>();
    private final List<TomlReader> children = new ArrayList<>();

    private TomlReader(String file, TomlTable table, TomlPosition start) {
        this.file = file;
        this.table = table;
        this.start = start;
    }

    /**
     * Parses a file.
     *
     * @throws SettingsException if the file cannot be read or is not TOML
     */
    public static TomlReader read(Path file) throws SettingsException {
        try {
            return parse(file.getFileName().toString(), Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot read the file: " + e.getMessage());
        }
    }

    /**
     * Parses a text.
     *
     * @param file the name that error messages give
     * @throws SettingsException if the text is not TOML
     */
    public static TomlReader parse(String file, String text) throws SettingsException {
        TomlParseResult result = Toml.parse(text);
        if (result.hasErrors()) {
            var first = result.errors().get(0);
            throw new SettingsException(
                    at(file, first.position()) + "expected valid TOML, but found: " + first.getMessage());
        }
        return new TomlReader(file, result, TomlPosition.positionAt(1, 1));
    }

    /** Returns a required text that is not empty. */
    public String text(String key) throws SettingsException {
        String value = optionalText(key).orElseThrow(() -> missing(key, "a text"));
        if (value.isEmpty()) {
            throw error(key, "a text that is not empty");
        }
        return value;
    }

    /** Returns a text, or the default if the key is absent. */
    public String text(String key, String otherwise) throws SettingsException {
        return optionalText(key).orElse(otherwise);
    }

    /** Returns a text if the key is present. */
    public Optional<String> optionalText(String key) throws SettingsException {
        return Optional.ofNullable(value(key, String.class, "a text"));
    }

    /** Returns a required whole number within a range. */
    public long integer(String key, long least, long most) throws SettingsException {
        String expected = "a whole number from " + least + " to " + most;
        Long value = value(key, Long.class, expected);
        if (value == null) {
            throw missing(key, expected);
        }
        return inRange(key, value, least, most, expected);
    }

    /** Returns a whole number within a range, or the default if the key is absent. */
    public long integer(String key, long least, long most, long otherwise) throws SettingsException {
        String expected = "a whole number from " + least + " to " + most;
        Long value = value(key, Long.class, expected);
        return value == null ? otherwise : inRange(key, value, least, most, expected);
    }

    /** Returns a required number within a range; whole numbers are accepted. */
    public double number(String key, double least, double most) throws SettingsException {
        String expected = "a number from " + least + " to " + most;
        Object value = raw(key);
        if (value == null) {
            throw missing(key, expected);
        }
        if (!(value instanceof Number number) || number.doubleValue() < least || number.doubleValue() > most) {
            throw error(key, expected);
        }
        return number.doubleValue();
    }

    /** Returns a number within a range, or the default if the key is absent. */
    public double number(String key, double least, double most, double otherwise) throws SettingsException {
        return raw(key) == null ? otherwise : number(key, least, most);
    }

    /** Returns a boolean, or the default if the key is absent. */
    public boolean flag(String key, boolean otherwise) throws SettingsException {
        Boolean value = value(key, Boolean.class, "true or false");
        return value == null ? otherwise : value;
    }

    /** Returns a required IP address with a port. Names are not resolved. */
    public InetSocketAddress address(String key) throws SettingsException {
        String value = text(key);
        Matcher matcher = ADDRESS.matcher(value);
        try {
            if (matcher.matches()) {
                return new InetSocketAddress(
                        InetAddress.getByName(matcher.group(1)), Integer.parseInt(matcher.group(2)));
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw error(key, EXPECTED_ADDRESS);
        }
        throw error(key, EXPECTED_ADDRESS);
    }

    /** Returns a list of texts, empty if the key is absent. */
    public List<String> texts(String key) throws SettingsException {
        TomlArray array = value(key, TomlArray.class, "a list of texts");
        List<String> texts = new ArrayList<>();
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof String text)) {
                throw error(key, "a list of texts");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns a table, as an empty one if the key is absent. */
    public TomlReader section(String key) throws SettingsException {
        TomlTable found = value(key, TomlTable.class, "a table");
        TomlPosition position = found == null ? start : position(key);
        return child(found == null ? Toml.parse("") : found, position);
    }

    /** Returns the tables of an array of tables, none if the key is absent. */
    public List<TomlReader> sections(String key) throws SettingsException {
        TomlArray array = value(key, TomlArray.class, "an array of tables");
        List<TomlReader> sections = new ArrayList<>();
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable found)) {
                throw error(key, "an array of tables");
            }
            sections.add(child(found, array.inputPositionOf(i)));
        }
        return sections;
    }

    /** Returns the keys of this table that are present, in no fixed order. */
    public Set<String> keys() {
        return table.keySet();
    }

    /** Returns an exception that names the position of a key and what was expected there. */
    public SettingsException error(String key, String expected) {
        return new SettingsException(
                at(file, position(key)) + key + ": expected " + expected + ", but found: " + table.get(List.of(key)));
    }

    /** Returns an exception that names the position of a key but not its value, which may be a secret. */
    public SettingsException errorAt(String key, String message) {
        return new SettingsException(at(file, position(key)) + key + ": " + message);
    }

    /** Returns an exception that names the position of this table. */
    public SettingsException error(String message) {
        return new SettingsException(at(file, start) + message);
    }

    /**
     * Refuses keys that were not asked for, here and in all tables below.
     *
     * @throws SettingsException naming the first unknown key
     */
    public void finish() throws SettingsException {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                List<String> expected = known.stream().sorted().toList();
                throw new SettingsException(at(file, position(key)) + "unknown key " + key + ": expected one of "
                        + String.join(", ", expected));
            }
        }
        for (TomlReader child : children) {
            child.finish();
        }
    }

    private TomlReader child(TomlTable found, TomlPosition position) {
        TomlReader child = new TomlReader(file, found, position == null ? start : position);
        children.add(child);
        return child;
    }

    private <T> T value(String key, Class<T> type, String expected) throws SettingsException {
        Object value = raw(key);
        if (value != null && !type.isInstance(value)) {
            throw error(key, expected);
        }
        return type.cast(value);
    }

    private Object raw(String key) {
        known.add(key);
        return table.get(List.of(key));
    }

    private long inRange(String key, long value, long least, long most, String expected) throws SettingsException {
        if (value < least || value > most) {
            throw error(key, expected);
        }
        return value;
    }

    private SettingsException missing(String key, String expected) {
        return new SettingsException(at(file, start) + "missing key " + key + ": expected " + expected);
    }

    private TomlPosition position(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? start : position;
    }

    private static String at(String file, TomlPosition position) {
        return file + ":" + position.line() + ":" + position.column() + ": ";
    }
}
