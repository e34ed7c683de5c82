/**
 * Rate limits of organisations. Organisations are divided into shards. The node that holds the claim for a part of a
 * shard in the store owns the token buckets of that part, and all other nodes request tokens from it. Each availability
 * zone has a small reserve that is used while an owner does not respond.
 */
package org.trefoilledge.core.rate;
