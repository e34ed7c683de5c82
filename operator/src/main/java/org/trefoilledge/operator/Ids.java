package org.trefoilledge.operator;

import java.util.function.Function;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.ZoneId;

/** Parses ids of the command line. */
final class Ids {
    private Ids() {}

    static OrganisationId organisation(String text) throws SettingsException {
        return parse(text, OrganisationId::new);
    }

    static HostId host(String text) throws SettingsException {
        return parse(text, HostId::new);
    }

    static ZoneId zone(String text) throws SettingsException {
        return parse(text, ZoneId::new);
    }

    private static <T> T parse(String text, Function<String, T> parser) throws SettingsException {
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            throw new SettingsException(e.getMessage());
        }
    }
}
