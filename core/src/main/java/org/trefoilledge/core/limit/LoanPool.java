package org.trefoilledge.core.limit;

import java.util.Arrays;

/** Borrowed tokens of one organisation at one node, ordered by expiry. Not thread-safe. */
final class LoanPool {
    private static final int INITIAL_CAPACITY = 8;

    /** The unspent part of one loan. */
    static final class Loan {
        final LoanSource source;
        final long loanId;
        final long validUntil;
        long micros;

        Loan(LoanSource source, long loanId, long micros, long validUntil) {
            this.source = source;
            this.loanId = loanId;
            this.micros = micros;
            this.validUntil = validUntil;
        }
    }

    private Loan[] loans = new Loan[INITIAL_CAPACITY];
    private int size;
    private long balance;

    /** Returns the tokens that may be spent at the given time, in millionths. */
    long balance(long now) {
        expire(now);
        return balance;
    }

    void add(Loan loan) {
        if (size == loans.length) {
            loans = Arrays.copyOf(loans, size * 2);
        }
        int at = size;
        while (at > 0 && loans[at - 1].validUntil > loan.validUntil) {
            loans[at] = loans[at - 1];
            at--;
        }
        loans[at] = loan;
        size++;
        balance += loan.micros;
    }

    /**
     * Takes one token, from the loans that expire first, and settles spent loans. Returns false if less than a token is
     * left.
     */
    boolean acquire(long now) {
        expire(now);
        if (balance < LimitShares.MICROS_PER_TOKEN) {
            return false;
        }
        long missing = LimitShares.MICROS_PER_TOKEN;
        balance -= missing;
        int spent = 0;
        while (missing > 0) {
            Loan loan = loans[spent];
            long part = Math.min(missing, loan.micros);
            loan.micros -= part;
            missing -= part;
            if (loan.micros == 0) {
                loan.source.addSettlement(loan.loanId, 0, now);
                spent++;
            }
        }
        removeFirst(spent);
        return true;
    }

    /**
     * Returns loans that are not needed, and the rest of loans that expire soon, to their owners.
     *
     * @param keepMicros tokens to keep, in millionths
     * @param returnUntil loans that expire at this time or earlier are returned
     * @param keepAfter loans that expire after this time are too recent to be returned as surplus
     */
    void returnUnneeded(long keepMicros, long returnUntil, long keepAfter, long now) {
        expire(now);
        int kept = 0;
        for (int i = 0; i < size; i++) {
            Loan loan = loans[i];
            boolean surplus = loan.validUntil <= keepAfter && balance - loan.micros >= keepMicros;
            if (loan.validUntil <= returnUntil || surplus) {
                balance -= loan.micros;
                loan.source.addSettlement(loan.loanId, loan.micros, now);
            } else {
                loans[kept++] = loan;
            }
        }
        Arrays.fill(loans, kept, size, null);
        size = kept;
    }

    private void expire(long now) {
        int expired = 0;
        while (expired < size && loans[expired].validUntil <= now) {
            balance -= loans[expired].micros;
            expired++;
        }
        removeFirst(expired);
    }

    private void removeFirst(int count) {
        if (count == 0) {
            return;
        }
        System.arraycopy(loans, count, loans, 0, size - count);
        Arrays.fill(loans, size - count, size, null);
        size -= count;
    }
}
