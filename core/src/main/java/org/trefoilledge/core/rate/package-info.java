/**
 * Rate limits by request. Organisations fall into shards; one node, which has claimed the shard in the store, owns the
 * token buckets of its organisations, and all nodes ask it. Each availability zone has a small reserve of its own for
 * the time in which an owner is silent.
 */
package org.trefoilledge.core.rate;
