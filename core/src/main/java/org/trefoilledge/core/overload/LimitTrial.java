package org.trefoilledge.core.overload;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A sequential test of whether an upstream has more throughput at a lower concurrency limit than at a higher one. Time is
 * divided into blocks of about the service time; within a block, calls that start at the higher concurrency are compared
 * with calls that start at the lower one. Only differences within a block count, so that a change of speed over time is
 * not mistaken for an effect of concurrency. While the upstream is full, the limit alternates between both values within
 * each block. Otherwise the chance swings of the concurrency serve.
 */
final class LimitTrial {
    /** Sum of scores at which a trial is decided. A block contributes at most {@link #MAX_BLOCK_SCORE}. */
    private static final double DECISIVE_SCORE = 5;

    /** Smaller, because the upstream loses throughput while the lower limit is tried. */
    private static final double REJECTING_SCORE = 3.5;

    private static final double MAX_BLOCK_SCORE = 2;
    /** Error of a block that does not fall with the number of its calls, because calls of a block share disturbances. */
    private static final double BLOCK_ERROR = 0.05;

    private static final int MIN_CALLS_PER_ARM = 3;
    private static final int MAX_BLOCKS = 60;
    private static final long MIN_HALF_MILLIS = 100;
    private static final long MAX_HALF_MILLIS = 1_000;
    /** Length of half a block in service times; a shorter half ends before calls run at the new limit. */
    private static final double HALF_SERVICE_TIMES = 0.75;
    /** Service times after the end of a block for which its last calls are awaited. */
    private static final double AWAITED_SERVICE_TIMES = 3;
    /** Bounds of the logarithm of a call's relative duration, so that the rare long calls do not decide. */
    private static final double MIN_LOG_DURATION = -1.5;

    private static final double MAX_LOG_DURATION = 0.8;

    final int lower;
    final int upper;
    /** Throughput gain, as a logarithm, below which the lower limit does not count as better. */
    private final double margin;
    /** Tolerance below an arm's limit within which calls count for that arm. */
    private final int span;

    private final Deque<Block> ended = new ArrayDeque<>();
    private Block block;
    private boolean lowerFirst;
    private double score;
    private int evaluated;
    private Result result = Result.UNDECIDED;

    /** State of a trial. */
    enum Result {
        UNDECIDED,
        LOWER_IS_BETTER,
        LOWER_IS_NOT_BETTER,
        /** There were too few comparable calls, or they contradict each other. */
        INCONCLUSIVE
    }

    /** The calls of one block. */
    static final class Block {
        private final long startMillis;
        private final long halfMillis;
        private final boolean alternating;
        private final boolean lowerFirst;
        private final Arm low = new Arm();
        private final Arm high = new Arm();
        private boolean closed;

        Block(long startMillis, long halfMillis, boolean alternating, boolean lowerFirst) {
            this.startMillis = startMillis;
            this.halfMillis = halfMillis;
            this.alternating = alternating;
            this.lowerFirst = lowerFirst;
        }
    }

    private static final class Arm {
        private int pending;
        private int calls;
        private double logSum;
        private double concurrencySum;

        double mean() {
            return logSum / calls;
        }

        double concurrency() {
            return concurrencySum / calls;
        }
    }

    /** Membership of a call in a block. */
    static final class Entry {
        private final Block block;
        private final Arm arm;
        private final int concurrency;

        Entry(Block block, Arm arm, int concurrency) {
            this.block = block;
            this.arm = arm;
            this.concurrency = concurrency;
        }

        /** Adds the logarithm of the relative duration of the call. */
        void complete(double logDuration) {
            if (!block.closed) {
                arm.pending--;
                arm.calls++;
                arm.concurrencySum += concurrency;
                arm.logSum += bounded(logDuration);
            }
        }

        /** Removes the call, whose duration says nothing. */
        void discard() {
            if (!block.closed) {
                arm.pending--;
            }
        }
    }

    LimitTrial(int lower, int upper, double margin, int span) {
        this.lower = lower;
        this.upper = upper;
        this.margin = margin;
        this.span = span;
    }

    /** Returns the logarithm of a relative duration within the bounds that count. */
    static double bounded(double logDuration) {
        return Math.max(MIN_LOG_DURATION, Math.min(MAX_LOG_DURATION, logDuration));
    }

    Result result() {
        return result;
    }

    /**
     * Returns the limit that applies now.
     *
     * @param base the limit outside of trials
     */
    int limit(int base, long now) {
        if (block == null || !block.alternating) {
            return base;
        }
        boolean firstHalf = now - block.startMillis < block.halfMillis;
        return firstHalf == block.lowerFirst ? lower : upper;
    }

    /**
     * Moves the trial up to the given time.
     *
     * @param full whether the upstream runs as many calls as its limit allows
     * @param variance variance of the logarithm of relative durations
     */
    void advance(long now, boolean full, double serviceMillis, double variance) {
        if (block != null && now - block.startMillis >= 2 * block.halfMillis) {
            ended.add(block);
            block = null;
        }
        if (block == null) {
            long half = Math.min(
                    MAX_HALF_MILLIS, Math.max(MIN_HALF_MILLIS, Math.round(HALF_SERVICE_TIMES * serviceMillis)));
            // The order changes in the pattern AB BA, which cancels a steady change of speed.
            block = new Block(now, half, full, lowerFirst);
            lowerFirst = !lowerFirst;
        }
        while (!ended.isEmpty() && isComplete(ended.peek(), now, serviceMillis)) {
            evaluate(ended.poll(), variance);
        }
    }

    /** Returns the entry of a call that starts as one of the given number of running calls, or null if it is in no arm. */
    Entry enter(int running) {
        Arm arm = null;
        if (running > lower && running <= upper && running >= upper - span) {
            arm = block.high;
        } else if (running <= lower && running >= lower - span) {
            arm = block.low;
        }
        if (arm == null) {
            return null;
        }
        arm.pending++;
        return new Entry(block, arm, running);
    }

    private static boolean isComplete(Block block, long now, double serviceMillis) {
        long endMillis = block.startMillis + 2 * block.halfMillis;
        return block.low.pending + block.high.pending == 0
                || (double) (now - endMillis) > Math.max(100, AWAITED_SERVICE_TIMES * serviceMillis);
    }

    private void evaluate(Block done, double variance) {
        done.closed = true;
        addUnfinished(done.low);
        addUnfinished(done.high);
        if (result != Result.UNDECIDED || done.low.calls < MIN_CALLS_PER_ARM || done.high.calls < MIN_CALLS_PER_ARM) {
            return;
        }
        double gain = done.high.mean()
                - done.low.mean()
                - Math.log(done.high.concurrency() / done.low.concurrency())
                - margin;
        double error = Math.sqrt(BLOCK_ERROR * BLOCK_ERROR + variance * (1.0 / done.low.calls + 1.0 / done.high.calls));
        score += Math.max(-MAX_BLOCK_SCORE, Math.min(MAX_BLOCK_SCORE, gain / error));
        evaluated++;
        if (score >= DECISIVE_SCORE) {
            result = Result.LOWER_IS_BETTER;
        } else if (score <= -REJECTING_SCORE) {
            result = Result.LOWER_IS_NOT_BETTER;
        } else if (evaluated >= MAX_BLOCKS) {
            result = Result.INCONCLUSIVE;
        }
    }

    /** Counts the calls that have not ended as long ones; to leave them out would hide a slow-down. */
    private static void addUnfinished(Arm arm) {
        if (arm.calls > 0) {
            arm.concurrencySum += arm.concurrency() * arm.pending;
        }
        arm.calls += arm.calls > 0 ? arm.pending : 0;
        arm.logSum += MAX_LOG_DURATION * (arm.calls > 0 ? arm.pending : 0);
    }
}
