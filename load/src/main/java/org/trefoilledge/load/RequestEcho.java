package org.trefoilledge.load;

import java.util.List;

/** Checks that a response body echoes its request. */
final class RequestEcho {
    /** The upstream stand-in repeats the path without its query, the id of the query, and the size of the body. */
    static final List<String> DEFAULT =
            List.of("\"path\":\"{path}\"", "\"requestId\":\"{id}\"", "\"bodyBytes\":{bytes}", "}");

    private static final int ID_DIGITS = 10;

    private RequestEcho() {}

    /**
     * Returns the id of a root request. Ids have a fixed width, so that no id is the beginning of another one.
     */
    static String id(long root) {
        String digits = Long.toString(root);
        return "0".repeat(Math.max(0, ID_DIGITS - digits.length())) + digits;
    }

    /** Returns a path whose query names the root request, which makes every echo unique in a run. */
    static String withId(String path, long root) {
        return path + (path.indexOf('?') < 0 ? "?id=" : "&id=") + id(root);
    }

    /** Returns whether a body contains all texts of a pattern. */
    static boolean matches(List<String> pattern, String body, String path, long root, int bodyBytes) {
        int query = path.indexOf('?');
        String plain = query < 0 ? path : path.substring(0, query);
        return pattern.stream()
                .map(text -> text.replace("{path}", plain)
                        .replace("{id}", id(root))
                        .replace("{bytes}", Integer.toString(bodyBytes)))
                .allMatch(body::contains);
    }
}
