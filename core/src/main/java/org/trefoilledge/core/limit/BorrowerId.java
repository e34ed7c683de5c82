package org.trefoilledge.core.limit;

import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;

/** One run of a node that borrows, as the connection of its requests states it. */
public record BorrowerId(HostId host, Incarnation incarnation) {}
