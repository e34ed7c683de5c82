package org.trefoilledge.operator;

/** Exit codes of the command. */
final class ExitCode {
    static final int DONE = 0;
    static final int FAILED = 1;
    static final int INVALID = 2;
    static final int NOT_KNOWN = 3;

    private ExitCode() {}
}
