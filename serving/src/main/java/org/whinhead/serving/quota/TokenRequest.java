package org.whinhead.serving.quota;

/**
 * Asks the holder of a share for tokens.
 *
 * @param id numbers the asks of a daemon's incarnation
 * @param customer the customer
 * @param slot the slot of the share in the table
 * @param tokens how many; all or none are issued
 * @param claimTokens how many the whole claim needs, of all shares that it asks
 * @param light whether the request may use what is kept for light ones
 */
public record TokenRequest(
        long id, String customer, int slot, long tokens, long claimTokens, boolean light) {

    /**
     * Asks one share for all that a claim needs.
     *
     * @param id the number of the ask
     * @param customer the customer
     * @param slot the slot of the share
     * @param tokens how many
     * @param light whether the request may use what is kept for light ones
     */
    public TokenRequest(
            final long id,
            final String customer,
            final int slot,
            final long tokens,
            final boolean light) {
        this(id, customer, slot, tokens, tokens, light);
    }
}
