/**
 * Decides at the first node which requests a fleet under overload begins at all: work for a request that is refused
 * later, deep in its call tree, would be lost.
 */
package org.trefoilledge.core.admission;
