package org.trefoilledge.load;

/** Selects hosts in actions: {@code KIND:ID}, {@code KIND:PREFIX*}, {@code KIND@ZONE} or {@code KIND=SERVICE}. */
final class HostPattern {
    private HostPattern() {}

    static boolean matches(String target, String kind, Host host) {
        if (!target.startsWith(kind) || target.length() < kind.length() + 2) {
            return false;
        }
        String rest = target.substring(kind.length() + 1);
        return switch (target.charAt(kind.length())) {
            case ':' -> matchesId(rest, host.id());
            case '@' -> rest.equals(host.zone());
            case '=' -> rest.equals(host.service());
            default -> false;
        };
    }

    private static boolean matchesId(String pattern, String id) {
        return pattern.endsWith("*") ? id.startsWith(pattern.substring(0, pattern.length() - 1)) : pattern.equals(id);
    }
}
