/** Divides each organisation's rate among the nodes by demand, so that the parts never add up to more than the rate. */
package org.trefoilledge.core.share;
