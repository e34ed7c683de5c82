/**
 * The node for platforms on which an upstream can be reached only from its own host: the sidecar of an upstream takes
 * the requests that start on its host, places each on an upstream, and is the only way to its own upstream.
 */
package org.trefoilledge.sidecar;
