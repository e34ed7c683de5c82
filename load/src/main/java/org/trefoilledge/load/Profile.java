package org.trefoilledge.load;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** A named set of disabled {@code [policy]} switches of the nodes, so that versions are compared in one run. */
record Profile(String name, Set<String> disabledSwitches) {
    static final String DEFAULT = "default";

    private static final List<String> SWITCHES =
            List.of("guard", "shedding", "loans", "two-choices", "ejection", "retry-budget");
    private static final Map<String, Profile> ALL = all();

    private static Map<String, Profile> all() {
        Map<String, Profile> all = new TreeMap<>();
        add(all, DEFAULT, List.of());
        add(all, "no-control", SWITCHES);
        add(all, "fixed-limit-per-hop-retries", List.of("guard", "shedding", "retry-budget"));
        SWITCHES.forEach(name -> add(all, "no-" + name, List.of(name)));
        return all;
    }

    private static void add(Map<String, Profile> all, String name, List<String> off) {
        all.put(name, new Profile(name, new TreeSet<>(off)));
    }

    static boolean isKnown(String name) {
        return ALL.containsKey(name);
    }

    static Set<String> names() {
        return ALL.keySet();
    }

    static Profile of(String name) {
        Profile profile = ALL.get(name);
        if (profile == null) {
            throw new IllegalArgumentException("unknown profile " + name + "; known: " + ALL.keySet());
        }
        return profile;
    }

    String policyToml() {
        StringBuilder text = new StringBuilder("[policy]\n");
        SWITCHES.forEach(name -> text.append(name)
                .append(" = ")
                .append(!disabledSwitches.contains(name))
                .append('\n'));
        return text.toString();
    }
}
