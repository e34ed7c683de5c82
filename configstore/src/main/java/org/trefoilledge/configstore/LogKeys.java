package org.trefoilledge.configstore;

/** Keys of the configuration log and its snapshots. Ten digits keep the order of the keys that of the revisions. */
final class LogKeys {
    static final String LOG = "config/log/";
    static final long MAX_REVISION = 9_999_999_999L;
    private static final String SNAPSHOT = "config/snapshot/";

    private LogKeys() {}

    static String entry(long revision) {
        if (revision < 1 || revision > MAX_REVISION) {
            throw new IllegalArgumentException(
                    "a revision must be from 1 to " + MAX_REVISION + ", but was: " + revision);
        }
        return LOG + String.format("%010d", revision);
    }

    static String part(long revision, int part) {
        return SNAPSHOT + String.format("%010d/%d", revision, part);
    }
}
