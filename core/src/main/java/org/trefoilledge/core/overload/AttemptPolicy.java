package org.trefoilledge.core.overload;

/**
 * Decides whether one request is sent to another host after an attempt has failed. A request is retried only if it
 * certainly has not been executed, or if it is idempotent. Answers upstreams that reject a part of their calls, that
 * drain, or that are gone. Not thread-safe.
 */
public final class AttemptPolicy {
    /** Limit of retries that do not count as attempts, because no upstream has received the request. */
    private static final int MAX_UNCOUNTED_RETRIES = 4;
    /** A request is retried only if at least this much time is left until its deadline. */
    private static final long MIN_RETRY_TIME_MILLIS = 10;
    /**
     * Limit of retries after rejections if these do not count as attempts. At a rejection rate of 0.55, one call in 200
     * is then given up.
     */
    private static final int MAX_REJECTION_RETRIES = 8;

    private final int maxAttempts;
    private final boolean idempotent;
    private final long deadlineMillis;
    private final boolean rejectionsCount;
    private int uncountedRetriesLeft = MAX_UNCOUNTED_RETRIES;
    /** Attempts that an upstream has received or may have received, without rejections if these do not count. */
    private int countedAttempts;

    private int rejections;
    private boolean mayHaveRun;

    /** What to do after an attempt. */
    public enum Next {
        /** The outcome is final. */
        COMPLETE,
        /** The request is sent to another host. */
        RETRY,
        /** The request is sent to another host if the retry budget of its service allows it. */
        RETRY_WITHIN_BUDGET
    }

    /**
     * Creates the policy of one request.
     *
     * @param maxAttempts maximum number of upstreams that may execute the request
     * @param idempotent whether the request may be executed more than once
     * @param deadlineMillis time at which the request fails if it is unanswered
     * @param rejectionsCount whether a rejection by an upstream counts as an execution; otherwise up to eight are
     *     allowed in addition
     */
    public AttemptPolicy(int maxAttempts, boolean idempotent, long deadlineMillis, boolean rejectionsCount) {
        this.maxAttempts = maxAttempts;
        this.idempotent = idempotent;
        this.deadlineMillis = deadlineMillis;
        this.rejectionsCount = rejectionsCount;
    }

    /**
     * Records the outcome of an attempt and returns what to do next.
     *
     * @param now current time in milliseconds
     */
    public Next next(AttemptOutcome outcome, long now) {
        mayHaveRun |= !outcome.notRun();
        if (outcome.isRejection() && !rejectionsCount) {
            rejections++;
        } else if (outcome.reachedUpstream()) {
            countedAttempts++;
        }
        if (!outcome.failed() || !mayRetry(outcome, now)) {
            return Next.COMPLETE;
        }
        if (outcome.reachedUpstream()) {
            return Next.RETRY_WITHIN_BUDGET;
        }
        uncountedRetriesLeft -= outcome.overloaded() ? MAX_UNCOUNTED_RETRIES / 2 : 1;
        return Next.RETRY;
    }

    private boolean mayRetry(AttemptOutcome outcome, long now) {
        boolean allowed = !mayHaveRun || idempotent;
        // If an execution that makes calls fails, one of them is the likely cause, and a retry repeats them all.
        boolean ownFailure = outcome.refusal() || !outcome.makesCalls();
        return hasRetryTime(now)
                && allowed
                && !outcome.timedOut()
                && ownFailure
                && uncountedRetriesLeft > 0
                && countedAttempts < maxAttempts
                && rejections <= MAX_REJECTION_RETRIES;
    }

    private boolean hasRetryTime(long now) {
        return deadlineMillis - now >= MIN_RETRY_TIME_MILLIS;
    }

    /** Returns whether another attempt may begin although the present one may still be executed. */
    public boolean mayAbandonAttempt(long now) {
        return countedAttempts + 1 < maxAttempts && hasRetryTime(now) && idempotent;
    }

    /** Records that the present attempt is given up without an outcome. */
    public void abandonAttempt() {
        mayHaveRun = true;
        countedAttempts++;
    }

    /** Returns whether an attempt may have executed the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
