package org.trefoilledge.load;

/** Text for HTML pages. */
final class Html {
    private Html() {}

    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
