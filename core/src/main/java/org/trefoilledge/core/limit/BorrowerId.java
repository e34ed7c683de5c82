package org.trefoilledge.core.limit;

import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/** Identifies one run of a borrowing node, as stated by the connection that carries its requests. */
public record BorrowerId(HostId host, Incarnation incarnation) {}
