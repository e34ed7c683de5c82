package org.trefoilledge.load;

/** What a whole answer must contain, and the mark by which executions are matched to root requests. */
final class RequestEcho {
    /** The upstream stand-in repeats the path with the query that it received. */
    static final String DEFAULT = "{path}";

    private static final int WIDTH = 10;
    private static final String PARAMETER = "root=";

    private RequestEcho() {}

    /**
     * Returns a path whose query names the root request. The number has a fixed width, so that no path is the beginning
     * of another one.
     */
    static String tagged(String path, long root) {
        String digits = Long.toString(root);
        String padding = "0".repeat(Math.max(0, WIDTH - digits.length()));
        return path + (path.indexOf('?') < 0 ? '?' : '&') + PARAMETER + padding + digits;
    }

    /** Returns the root request that a path names, -1 if it names none. */
    static long root(String path) {
        int start = path.indexOf(PARAMETER);
        if (start < 0) {
            return -1;
        }
        int end = start + PARAMETER.length();
        long root = 0;
        int first = end;
        while (end < path.length() && Character.isDigit(path.charAt(end))) {
            root = root * 10 + (path.charAt(end++) - '0');
        }
        return end == first ? -1 : root;
    }
}
