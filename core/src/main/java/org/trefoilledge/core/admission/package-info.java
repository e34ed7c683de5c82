/**
 * Admission control at the node that receives a root request. Under overload, requests are refused there, because work
 * done for a request that is refused deep in its call tree would be wasted.
 */
package org.trefoilledge.core.admission;
