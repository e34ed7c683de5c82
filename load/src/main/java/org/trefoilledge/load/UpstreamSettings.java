package org.trefoilledge.load;

import java.util.List;

/**
 * Settings of the upstream stand-ins of one service.
 *
 * @param coldStartMillis time after each start with longer service times
 * @param calls requests that each execution makes to other services, for example {@code GET /stock/{n}}
 */
record UpstreamSettings(
        String service, double serviceTimeMillis, double serviceTimeSpread, long coldStartMillis, List<String> calls) {
    UpstreamSettings {
        calls = List.copyOf(calls);
    }
}
