package org.trefoilledge.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.trefoilledge.core.config.Inventory;

/** Describes an inventory for operators. */
final class InventoryText {
    private InventoryText() {}

    static Map<String, Integer> counts(Inventory inventory) {
        int keys = inventory.organisations().values().stream()
                .mapToInt(organisation -> organisation.keys().size())
                .sum();
        Map<String, Integer> counts = new LinkedHashMap<>();
        counts.put("zones", inventory.zones().size());
        counts.put("services", inventory.services().size());
        counts.put("organisations", inventory.organisations().size());
        counts.put("keys", keys);
        counts.put("routes", inventory.routes().size());
        return counts;
    }

    static String summary(Inventory inventory) {
        List<String> parts = new ArrayList<>();
        counts(inventory).forEach((name, count) -> parts.add(name + " " + count));
        return "deployment " + inventory.deployment() + ", " + String.join(", ", parts);
    }

    /** Returns the whole inventory as lines; keys appear only as abbreviated digests. */
    static List<String> lines(Inventory inventory) {
        List<String> lines = new ArrayList<>();
        lines.add("deployment " + inventory.deployment() + ": zones " + inventory.zones());
        lines.add("rules: " + ChangeText.fields(null, inventory.rules()));
        inventory
                .services()
                .forEach((id, service) -> lines.add("service " + id + ": " + ChangeText.fields(null, service)));
        inventory
                .organisations()
                .forEach((id, organisation) ->
                        lines.add("organisation " + id + ": " + ChangeText.fields(null, organisation)));
        inventory.routes().forEach((id, route) -> lines.add("route " + id + ": " + ChangeText.fields(null, route)));
        inventory.drainedHosts().forEach(host -> lines.add("drained host " + host));
        return lines;
    }
}
