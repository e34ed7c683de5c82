package org.trefoilledge.load;

import java.util.List;
import java.util.stream.Collectors;

/** Writes the settings file of a node. */
final class NodeSettings {
    /** Limits how long a draining node delays the end of a run. */
    private static final int DRAIN_MILLIS = 3_000;

    private NodeSettings() {}

    static String toml(
            Host host,
            int index,
            String deployment,
            PortPlan ports,
            List<String> seeds,
            Profile profile,
            boolean faults) {
        String quotedSeeds = seeds.stream().map(NodeSettings::quote).collect(Collectors.joining(", "));
        StringBuilder text = new StringBuilder()
                .append("host = " + quote(host.id()) + "\n")
                .append("zone = " + quote(host.zone()) + "\n")
                .append("deployment = " + quote(deployment) + "\n\n[listen]\n")
                .append("callers = " + quote(ports.callers(index)) + "\n")
                .append("local = " + quote(ports.local(index)) + "\n")
                .append("peers = " + quote(ports.peers(index)) + "\n")
                .append("operators = " + quote(ports.operators(index)) + "\n\n[store]\n")
                .append("endpoints = [" + quote("http://" + ports.store()) + "]\n\n[peers]\n")
                .append("seeds = [" + quotedSeeds + "]\n\n[limits]\n")
                .append("drain-timeout-ms = " + DRAIN_MILLIS + "\n\n")
                .append(profile.policyToml());
        if (faults) {
            text.append("\n[faults]\nenabled = true\n");
        }
        return text.toString();
    }

    private static String quote(String text) {
        return '"' + text + '"';
    }
}
