package org.trefoilledge.core.limit;

import java.util.Arrays;

/** Borrowed tokens of one organisation at one node, ordered by expiry. Not thread-safe. */
final class LoanPurse {
    private static final int INITIAL_CAPACITY = 8;

    private long[] micros = new long[INITIAL_CAPACITY];
    private long[] validUntil = new long[INITIAL_CAPACITY];
    private int size;
    private long balance;

    /** Returns the tokens that may be spent at the given time, in millionths. */
    long balance(long now) {
        expire(now);
        return balance;
    }

    /** Adds a loan. */
    void add(long amount, long until) {
        if (size == micros.length) {
            micros = Arrays.copyOf(micros, size * 2);
            validUntil = Arrays.copyOf(validUntil, size * 2);
        }
        int at = size;
        while (at > 0 && validUntil[at - 1] > until) {
            micros[at] = micros[at - 1];
            validUntil[at] = validUntil[at - 1];
            at--;
        }
        micros[at] = amount;
        validUntil[at] = until;
        size++;
        balance += amount;
    }

    /** Takes one token from the loans that expire first, if there is a whole one. */
    boolean take(long now) {
        expire(now);
        if (balance < ShareMap.TOKEN_MICROS) {
            return false;
        }
        long missing = ShareMap.TOKEN_MICROS;
        balance -= missing;
        int emptied = 0;
        while (missing > 0) {
            long part = Math.min(missing, micros[emptied]);
            micros[emptied] -= part;
            missing -= part;
            if (micros[emptied] == 0) {
                emptied++;
            }
        }
        dropFirst(emptied);
        return true;
    }

    private void expire(long now) {
        int expired = 0;
        while (expired < size && validUntil[expired] <= now) {
            balance -= micros[expired];
            expired++;
        }
        dropFirst(expired);
    }

    private void dropFirst(int count) {
        if (count == 0) {
            return;
        }
        size -= count;
        System.arraycopy(micros, count, micros, 0, size);
        System.arraycopy(validUntil, count, validUntil, 0, size);
    }
}
