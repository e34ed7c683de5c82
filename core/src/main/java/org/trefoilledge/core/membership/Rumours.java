package org.trefoilledge.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.HostId;

/** Recently changed entries, each to be sent a limited number of times, those sent least recently first. */
final class Rumours {
    /** Bounds the size of a message to about 1 KB. */
    static final int MOST_PER_MESSAGE = 12;

    private final ArrayDeque<HostId> order = new ArrayDeque<>();
    private final Map<HostId, Integer> sendsLeft = new HashMap<>();

    void add(HostId host, int sends) {
        if (sendsLeft.put(host, sends) == null) {
            order.addFirst(host);
        }
    }

    /** Returns the hosts whose entries go into the next message; the given one does not count as sent. */
    List<HostId> next(HostId receiver) {
        List<HostId> taken = new ArrayList<>();
        Set<HostId> again = new HashSet<>();
        int looked = order.size();
        while (taken.size() < MOST_PER_MESSAGE && looked-- > 0) {
            HostId host = order.pollFirst();
            if (host.equals(receiver)) {
                order.addLast(host);
                continue;
            }
            taken.add(host);
            if (sendsLeft.merge(host, -1, Integer::sum) > 0) {
                again.add(host);
            } else {
                sendsLeft.remove(host);
            }
        }
        taken.stream().filter(again::contains).forEach(order::addLast);
        return taken;
    }

    boolean isEmpty() {
        return order.isEmpty();
    }
}
