package org.trefoilledge.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The content of the stand-in store: keys in order, with etcd's revisions. Bytes are kept as ISO-8859-1 texts, whose
 * order is that of the unsigned bytes. Not thread-safe.
 */
final class KeyValueStore {
    private final TreeMap<String, KeyValue> items = new TreeMap<>();
    private long revision = 1;

    /** A key with its value and revisions. */
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

    /** Returns the items from a key up to an end, which follows etcd's rules: none is one key, a zero byte no end. */
    List<KeyValue> range(String first, String end) {
        if (end.isEmpty()) {
            KeyValue item = items.get(first);
            return item == null ? List.of() : List.of(item);
        }
        NavigableMap<String, KeyValue> tail = items.tailMap(first, true);
        List<KeyValue> found = new ArrayList<>();
        for (KeyValue item : tail.values()) {
            if (!inRange(item.key(), first, end)) {
                break;
            }
            found.add(item);
        }
        return found;
    }

    static boolean inRange(String key, String first, String end) {
        if (end.isEmpty()) {
            return key.equals(first);
        }
        boolean open = end.equals("\0");
        return key.compareTo(first) >= 0 && (open || key.compareTo(end) < 0);
    }

    KeyValueStore copy() {
        KeyValueStore copy = new KeyValueStore();
        copy.items.putAll(items);
        copy.revision = revision;
        return copy;
    }
}
