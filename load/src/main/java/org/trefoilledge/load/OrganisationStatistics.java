package org.trefoilledge.load;

/**
 * Service of one organisation after the warm-up.
 *
 * @param sent root requests
 * @param whole root requests answered whole
 * @param rateLimited attempts refused with {@code RATE_LIMITED}
 * @param entitled root requests that it was entitled to
 */
record OrganisationStatistics(
        String organisation, long sent, long whole, long rateLimited, double entitled, WrongfulRefusals wrongful) {
    /** Returns served to entitled; 1 if the organisation was entitled to nothing. */
    double ratio() {
        return entitled <= 0 ? 1 : whole / entitled;
    }
}
