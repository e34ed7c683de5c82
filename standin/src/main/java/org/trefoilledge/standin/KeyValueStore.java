package org.trefoilledge.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * An in-memory key-value store with ordered keys and the revisions of etcd. Keys and values are byte sequences held as
 * ISO-8859-1 strings, which sort like unsigned bytes. Not thread-safe.
 */
final class KeyValueStore {
    private final TreeMap<String, KeyValue> items = new TreeMap<>();
    private long revision = 1;

    /** A key with its value, the revisions of its creation and last change, and its version (number of writes). */
    record KeyValue(String key, String value, long createRevision, long modRevision, long version) {}

    long revision() {
        return revision;
    }

    KeyValue get(String key) {
        return items.get(key);
    }

    KeyValue put(String key, String value) {
        revision++;
        KeyValue old = items.get(key);
        KeyValue item = new KeyValue(
                key,
                value,
                old == null ? revision : old.createRevision(),
                revision,
                old == null ? 1 : old.version() + 1);
        items.put(key, item);
        return item;
    }

    /**
     * Returns the items of a key range, in key order.
     *
     * @param first first key, inclusive
     * @param end end of the range, exclusive; as in etcd, empty selects only the first key and a single zero byte means
     *     no upper bound
     */
    List<KeyValue> range(String first, String end) {
        if (end.isEmpty()) {
            KeyValue item = items.get(first);
            return item == null ? List.of() : List.of(item);
        }
        NavigableMap<String, KeyValue> tail = items.tailMap(first, true);
        List<KeyValue> matches = new ArrayList<>();
        for (KeyValue item : tail.values()) {
            if (!inRange(item.key(), first, end)) {
                break;
            }
            matches.add(item);
        }
        return matches;
    }

    static boolean inRange(String key, String first, String end) {
        if (end.isEmpty()) {
            return key.equals(first);
        }
        boolean unbounded = end.equals("\0");
        return key.compareTo(first) >= 0 && (unbounded || key.compareTo(end) < 0);
    }

    KeyValueStore copy() {
        KeyValueStore copy = new KeyValueStore();
        copy.items.putAll(items);
        copy.revision = revision;
        return copy;
    }
}
