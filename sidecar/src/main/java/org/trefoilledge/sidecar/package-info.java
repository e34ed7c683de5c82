/**
 * Node implementation for platforms where an upstream is reachable only from its own host. The sidecar of an upstream
 * accepts the requests that originate on its host and routes each of them to an upstream. All requests to its own
 * upstream pass through it.
 */
package org.trefoilledge.sidecar;
