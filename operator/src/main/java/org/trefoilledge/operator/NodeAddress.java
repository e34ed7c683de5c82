package org.trefoilledge.operator;

import java.util.regex.Pattern;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Host and port of a node's operators' port. */
record NodeAddress(String hostAndPort) {
    private static final Pattern VALID = Pattern.compile("([A-Za-z0-9.-]+|\\[[0-9A-Fa-f:.]+]):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    @Override
    public String toString() {
        return hostAndPort;
    }

    /** Parses HOST:PORT, with an IPv6 address in brackets. */
    static final class Converter implements ITypeConverter<NodeAddress> {
        @Override
        public NodeAddress convert(String value) {
            var matcher = VALID.matcher(value);
            if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
                throw new TypeConversionException("expected HOST:PORT, but found: " + value);
            }
            return new NodeAddress(value);
        }
    }
}
