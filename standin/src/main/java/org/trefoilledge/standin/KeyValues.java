package org.trefoilledge.standin;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The content of the stand-in store: keys in order, with etcd's revisions. Not thread-safe. */
final class KeyValues {
    private final TreeMap<byte[], Item> items = new TreeMap<>(Arrays::compareUnsigned);
    private long revision = 1;

    /** A key with its value and revisions. */
    record Item(byte[] key, byte[] value, long createRevision, long modRevision, long version) {}

    long revision() {
        return revision;
    }

    Item get(byte[] key) {
        return items.get(key);
    }

    Item put(byte[] key, byte[] value) {
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
    List<Item> range(byte[] first, byte[] end) {
        if (end.length == 0) {
            Item item = items.get(first);
            return item == null ? List.of() : List.of(item);
        }
        NavigableMap<byte[], Item> tail = items.tailMap(first, true);
        List<Item> found = new ArrayList<>();
        for (Item item : tail.values()) {
            if (!within(item.key(), first, end)) {
                break;
            }
            found.add(item);
        }
        return found;
    }

    static boolean within(byte[] key, byte[] first, byte[] end) {
        if (end.length == 0) {
            return Arrays.equals(key, first);
        }
        boolean open = end.length == 1 && end[0] == 0;
        return Arrays.compareUnsigned(key, first) >= 0 && (open || Arrays.compareUnsigned(key, end) < 0);
    }

    KeyValues copy() {
        KeyValues copy = new KeyValues();
        copy.items.putAll(items);
        copy.revision = revision;
        return copy;
    }
}
