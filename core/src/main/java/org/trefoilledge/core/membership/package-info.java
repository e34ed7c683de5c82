/** Membership of the fleet: gossip, delegates and the test for isolation. */
package org.trefoilledge.core.membership;
