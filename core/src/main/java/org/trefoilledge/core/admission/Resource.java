package org.trefoilledge.core.admission;

import org.trefoilledge.core.ServiceId;

/** A resource of a service that call trees use up. */
record Resource(ServiceId service, Kind kind) {
    /** What is used up. */
    enum Kind {
        /** Slot milliseconds per second. */
        SLOTS,
        /** Retries per second. */
        RETRIES
    }
}
