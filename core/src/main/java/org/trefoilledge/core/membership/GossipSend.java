package org.trefoilledge.core.membership;

import org.trefoilledge.core.HostId;

/** A message to send. A loss does no harm; a failed connection should be reported to {@link Gossip#failed}. */
public record GossipSend(HostId to, String peerAddress, GossipMessage message) {}
