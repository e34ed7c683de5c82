package org.trefoilledge.core.placement;

import java.util.List;
import java.util.Optional;

/** The upstreams of a service, those that the next call may go to first. Immutable. */
public record PlacementExplanation(List<Entry> entries) {
    /** Copies the list. */
    public PlacementExplanation {
        entries = List.copyOf(entries);
    }

    /** An upstream, and the reason for which the next call does not go there; empty if it may. */
    public record Entry(UpstreamFigures figures, Optional<PassedOver> passedOver) {}

    /** Reasons for which an upstream is passed over. */
    public enum PassedOver {
        OUTSIDE_SUBSET("this node uses other upstreams of the service"),
        SILENT("its node does not answer"),
        BACKED_OFF("it refused a request or a connection a moment ago"),
        EJECTED("it is ejected after unreachable calls"),
        COLD("it is cold and its rate allows no more calls at the moment"),
        LOCAL_HOST_PREFERRED("the upstream on this host has capacity"),
        OTHER_ZONE("the upstreams of this zone have capacity"),
        NOT_CLEARLY_BETTER("it is not clearly better than the upstreams of this zone"),
        OTHER_ZONE_BETTER("the upstreams of other zones are clearly better"),
        WORST_OF_GROUP("it loses the comparison with any other upstream of its group");

        private final String text;

        PassedOver(String text) {
            this.text = text;
        }

        /** Returns the reason as a clause. */
        public String text() {
            return text;
        }
    }

    /** Returns the upstreams among which the next call is placed; empty if no upstream is left. */
    public List<UpstreamFigures> choice() {
        return entries.stream()
                .filter(entry -> entry.passedOver().isEmpty())
                .map(Entry::figures)
                .toList();
    }
}
