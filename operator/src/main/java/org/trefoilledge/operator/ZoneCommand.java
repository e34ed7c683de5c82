package org.trefoilledge.operator;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "zone", description = "Repair an availability zone.")
final class ZoneCommand {
    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Show this help and exit.")
    boolean help;
}
