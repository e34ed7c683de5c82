package org.trefoilledge.load;

import java.util.Comparator;
import java.util.List;
import org.trefoilledge.core.ErrorKind;

/**
 * Refusals with {@code RATE_LIMITED} of an organisation that had tokens left.
 *
 * @param wrongful refusals at which a single limiter for the whole fleet would have had a token
 * @param withinLimit attempts that such a limiter would have admitted: the admitted ones and the wrongful refusals
 */
record WrongfulRefusals(long wrongful, long withinLimit) {
    static final WrongfulRefusals NONE = new WrongfulRefusals(0, 0);

    /**
     * Replays one organisation's attempts, in the order in which they were sent, against one token bucket that starts
     * full. Admitted attempts and wrongful refusals take a token. The level may go below zero when the system admits
     * more than the bucket holds.
     *
     * @param fromSeconds attempts before this time are replayed but not counted
     */
    static WrongfulRefusals of(List<Attempt> attempts, double rate, double burst, double fromSeconds) {
        if (rate <= 0) {
            return NONE;
        }
        List<Attempt> ordered = attempts.stream()
                .filter(a -> a.result().outcome() != AttemptResult.Outcome.NOT_SENT)
                .sorted(Comparator.comparingLong(Attempt::sentMicros))
                .toList();
        double level = burst;
        double last = 0;
        long wrongful = 0;
        long within = 0;
        for (Attempt attempt : ordered) {
            double now = attempt.sentMicros() / 1e6;
            level = Math.min(burst, level + (now - last) * rate);
            last = now;
            boolean refused = attempt.result().is(ErrorKind.RATE_LIMITED);
            if (refused && level < 1) {
                continue;
            }
            level -= 1;
            within += now >= fromSeconds ? 1 : 0;
            wrongful += refused && now >= fromSeconds ? 1 : 0;
        }
        return new WrongfulRefusals(wrongful, within);
    }

    WrongfulRefusals plus(WrongfulRefusals other) {
        return new WrongfulRefusals(wrongful + other.wrongful, withinLimit + other.withinLimit);
    }

    double share() {
        return withinLimit == 0 ? 0 : wrongful / (double) withinLimit;
    }
}
