package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.ConfigCodec;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.KeyDigest;

/** Describes changes for operators: + added, ~ changed, - removed. */
final class ChangeText {
    private ChangeText() {}

    /** Returns one line per change of an inventory. */
    static List<String> lines(List<Change> changes, Inventory before) {
        return changes.stream().map(change -> line(change, before)).toList();
    }

    private static String line(Change change, Inventory before) {
        if (change instanceof Change.SetDeployment set) {
            return "+ deployment " + set.deployment() + ": zones " + set.zones();
        } else if (change instanceof Change.SetRules set) {
            return "~ rules: " + fields(before.rules(), set.rules());
        } else if (change instanceof Change.PutService put) {
            var id = put.service().id();
            return put("service " + id, before.services().get(id), put.service());
        } else if (change instanceof Change.PutOrganisation put) {
            var id = put.organisation().id();
            return put("organisation " + id, before.organisations().get(id), put.organisation());
        } else if (change instanceof Change.PutRoute put) {
            var id = put.route().id();
            return put("route " + id, before.routes().get(id), put.route());
        } else if (change instanceof Change.GrantKey grant) {
            return "+ key " + grant.key().abbreviated() + " of organisation " + grant.organisation();
        } else if (change instanceof Change.DrainHost drain) {
            return "+ draining of host " + drain.host();
        }
        return removal(change, before);
    }

    private static String removal(Change change, Inventory before) {
        if (change instanceof Change.RemoveService remove) {
            return "- service " + remove.id();
        } else if (change instanceof Change.RemoveOrganisation remove) {
            return "- organisation " + remove.id();
        } else if (change instanceof Change.RemoveRoute remove) {
            return "- route " + remove.id();
        } else if (change instanceof Change.WithdrawKey withdraw) {
            return "- key " + withdraw.key().abbreviated() + owner(withdraw.key(), before);
        } else if (change instanceof Change.UndrainHost undrain) {
            return "- draining of host " + undrain.host();
        }
        throw new IllegalArgumentException("unknown change: " + change);
    }

    private static String owner(KeyDigest key, Inventory before) {
        return before.organisations().values().stream()
                .filter(organisation -> organisation.keys().contains(key))
                .map(organisation -> " of organisation " + organisation.id())
                .findFirst()
                .orElse("");
    }

    private static String put(String item, Object before, Object after) {
        return (before == null ? "+ " : "~ ") + item + ": " + fields(before, after);
    }

    /** Returns the fields of a new value, or only those that differ from the value before. */
    static String fields(Object before, Object after) {
        JsonNode old =
                before == null ? MissingNode.getInstance() : ConfigCodec.json().valueToTree(before);
        JsonNode tree = ConfigCodec.json().valueToTree(after);
        List<String> texts = new ArrayList<>();
        tree.properties().forEach(field -> {
            String name = field.getKey();
            if (before == null && !name.equals("id")) {
                texts.add(name(name) + " " + value(name, field.getValue()));
            } else if (before != null && !field.getValue().equals(old.get(name))) {
                texts.add(name(name) + " " + value(name, old.get(name)) + " -> " + value(name, field.getValue()));
            }
        });
        return String.join(", ", texts);
    }

    /** Turns the name of a field into the key of the inventory file. */
    private static String name(String field) {
        String withUnit = field.endsWith("Millis") ? field.substring(0, field.length() - 6) + "Ms" : field;
        return withUnit.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
    }

    private static String value(String field, JsonNode node) {
        if (!node.isArray()) {
            return field.equals("importance") ? node.asText().toLowerCase(Locale.ROOT) : node.asText();
        }
        List<String> keys = new ArrayList<>();
        node.forEach(key -> keys.add(key.asText().substring(0, 8)));
        return keys.toString();
    }

    /** Returns the items that changes touch; two lists of changes without a common item can be applied in any order. */
    static Set<String> items(List<Change> changes) {
        Set<String> items = new TreeSet<>();
        changes.forEach(change -> addItems(change, items));
        return items;
    }

    private static void addItems(Change change, Set<String> items) {
        if (change instanceof Change.SetDeployment) {
            items.add("deployment");
        } else if (change instanceof Change.SetRules) {
            items.add("rules");
        } else if (change instanceof Change.PutService put) {
            items.add("service " + put.service().id());
        } else if (change instanceof Change.RemoveService remove) {
            items.add("service " + remove.id());
        } else if (change instanceof Change.PutRoute put) {
            items.add("route " + put.route().id());
        } else if (change instanceof Change.RemoveRoute remove) {
            items.add("route " + remove.id());
        } else if (change instanceof Change.DrainHost drain) {
            items.add("host " + drain.host());
        } else if (change instanceof Change.UndrainHost undrain) {
            items.add("host " + undrain.host());
        } else {
            addOrganisationItems(change, items);
        }
    }

    /** An organisation is written with all its keys, so it conflicts with every change of one of these keys. */
    private static void addOrganisationItems(Change change, Set<String> items) {
        if (change instanceof Change.PutOrganisation put) {
            items.add("organisation " + put.organisation().id());
            put.organisation().keys().forEach(key -> items.add("key " + key.abbreviated()));
        } else if (change instanceof Change.RemoveOrganisation remove) {
            items.add("organisation " + remove.id());
        } else if (change instanceof Change.GrantKey grant) {
            items.add("organisation " + grant.organisation());
            items.add("key " + grant.key().abbreviated());
        } else if (change instanceof Change.WithdrawKey withdraw) {
            items.add("key " + withdraw.key().abbreviated());
        }
    }
}
