package org.trefoilledge.configstore;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.Organisation;

/**
 * The operators' inventory as a TOML file. A file does not list drained hosts, and an organisation without
 * {@code key-digests} leaves its keys to the grant and withdraw commands.
 */
public final class InventoryFile {
    /** Largest accepted file in bytes; a full-size inventory (360 services, thousands of keys) is under 1 MB. */
    public static final long MAX_FILE_BYTES = 4L << 20;

    private final Inventory inventory;
    private final Set<OrganisationId> withoutKeyList;

    InventoryFile(Inventory inventory, Set<OrganisationId> withoutKeyList) {
        this.inventory = inventory;
        this.withoutKeyList = new TreeSet<>(withoutKeyList);
    }

    /**
     * Reads and checks a file.
     *
     * @throws SettingsException naming file, line, column and what was expected
     */
    public static InventoryFile read(Path file) throws SettingsException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new SettingsException(file.getFileName() + ":1:1: expected at most " + MAX_FILE_BYTES
                        + " bytes, but found: " + Files.size(file));
            }
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot read the file: " + e.getMessage());
        }
        return new InventoryParser(TomlReader.read(file)).parse();
    }

    /**
     * Parses and checks a text.
     *
     * @param file the name that error messages give
     * @throws SettingsException naming file, line, column and what was expected
     */
    public static InventoryFile parse(String file, String text) throws SettingsException {
        return new InventoryParser(TomlReader.parse(file, text)).parse();
    }

    /** Returns the inventory as the file states it. */
    public Inventory inventory() {
        return inventory;
    }

    /**
     * Returns the inventory that applying the file to the current one leads to: drained hosts stay drained, and
     * organisations without a list of keys keep the keys that they have.
     */
    public Inventory over(Inventory current) {
        TreeMap<OrganisationId, Organisation> organisations = new TreeMap<>(inventory.organisations());
        for (OrganisationId id : withoutKeyList) {
            Organisation known = current.organisations().get(id);
            if (known != null) {
                organisations.computeIfPresent(
                        id, (i, stated) -> new Organisation(i, stated.rate(), stated.burst(), known.keys()));
            }
        }
        return new Inventory(
                inventory.deployment(),
                inventory.zones(),
                inventory.services(),
                organisations,
                inventory.routes(),
                current.drainedHosts(),
                inventory.rules());
    }
}
