/** Rate limits of organisations across the fleet: escrowed shares, lent for a limited time. */
package org.trefoilledge.core.limit;
