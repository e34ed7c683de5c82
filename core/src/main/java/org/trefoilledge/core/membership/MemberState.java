package org.trefoilledge.core.membership;

/** State of a member. The first five are announced by the member itself, the last two are found by others. */
public enum MemberState {
    /** The node runs, but its upstream has not announced itself or is gone. */
    NO_UPSTREAM(0),
    /** The upstream is starting. */
    STARTING(1),
    /** The upstream serves. */
    SERVING(2),
    /** The upstream or its node is draining and must get no new work. */
    DRAINING(3),
    /** The node has stopped as planned. */
    LEFT(4),
    /** The node did not respond; it may refute this with a higher version. */
    SUSPECT(5),
    /** The node did not refute the suspicion in time. */
    DEAD(6);

    private final int number;

    MemberState(int number) {
        this.number = number;
    }

    /** Returns the number that stands for this state in messages. */
    public int number() {
        return number;
    }

    /**
     * Returns the state with the given number.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static MemberState of(int number) {
        for (MemberState value : values()) {
            if (value.number == number) {
                return value;
            }
        }
        throw new IllegalArgumentException("unknown member state: " + number);
    }

    /** Returns whether the member counts as present. */
    public boolean present() {
        return this != LEFT && this != DEAD;
    }

    /** Of two entries with the same version the one with the higher severity holds. */
    int severity() {
        return switch (this) {
            case SUSPECT -> 1;
            case DEAD -> 2;
            default -> 0;
        };
    }
}
