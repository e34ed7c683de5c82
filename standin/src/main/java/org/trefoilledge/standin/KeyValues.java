package org.trefoilledge.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The content of the stand-in store: keys in order, with etcd's revisions. Bytes are kept as ISO-8859-1 texts, whose
 * order is that of the unsigned bytes. Not thread-safe.
 */
final class KeyValues {
    private final TreeMap<String, Item> items = new TreeMap<>();
    private long revision = 1;

    /** A key with its value and revisions. */
    record Item(String key, String value, long createRevision, long modRevision, long version) {}

    long revision() {
        return revision;
    }

    Item get(String key) {
        return items.get(key);
    }

    Item put(String key, String value) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(
                key,
                value,
                old == null ? revision : old.createRevision(),
                revision,
                old == null ? 1 : old.version() + 1);
        items.put(key, item);
        return item;
    }

    /** Returns the items from a key up to an end, which follows etcd's rules: none is one key, a zero byte no end. */
    List<Item> range(String first, String end) {
        if (end.isEmpty()) {
            Item item = items.get(first);
            return item == null ? List.of() : List.of(item);
        }
        NavigableMap<String, Item> tail = items.tailMap(first, true);
        List<Item> found = new ArrayList<>();
        for (Item item : tail.values()) {
            if (!within(item.key(), first, end)) {
                break;
            }
            found.add(item);
        }
        return found;
    }

    static boolean within(String key, String first, String end) {
        if (end.isEmpty()) {
            return key.equals(first);
        }
        boolean open = end.equals("\0");
        return key.compareTo(first) >= 0 && (open || key.compareTo(end) < 0);
    }

    KeyValues copy() {
        KeyValues copy = new KeyValues();
        copy.items.putAll(items);
        copy.revision = revision;
        return copy;
    }
}
