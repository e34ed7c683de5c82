/** The operator's configuration as the sidecar uses it: routes by host and path, organisations by key. */
package org.trefoilledge.core.routing;
