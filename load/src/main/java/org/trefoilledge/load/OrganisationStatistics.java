package org.trefoilledge.load;

/**
 * Statistics of one organisation after the warm-up.
 *
 * @param sent root requests
 * @param whole root requests answered whole
 * @param rateLimited attempts refused with {@code RATE_LIMITED}
 * @param entitled fair share of the organisation, in root requests
 */
record OrganisationStatistics(
        String organisation, long sent, long whole, long rateLimited, double entitled, WrongfulRefusals wrongful) {
    /** Returns the whole answers divided by the fair share; 1 if the fair share is 0. */
    double ratio() {
        return entitled <= 0 ? 1 : whole / entitled;
    }
}
