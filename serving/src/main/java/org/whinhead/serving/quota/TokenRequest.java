package org.whinhead.serving.quota;

/**
 * A request for tokens to the holder of a share.
 *
 * @param id the id, unique within a daemon's incarnation
 * @param customer the customer's name
 * @param slot the slot of the share in the table
 * @param tokens the number of tokens, of which all or none are issued
 * @param claimTokens the tokens that the claim needs from all shares
 * @param light whether the claim may use the reserve for light requests
 */
public record TokenRequest(
        long id, String customer, int slot, long tokens, long claimTokens, boolean light) {

    /**
     * Creates a request for all tokens of a claim.
     *
     * @param id the id, unique within a daemon's incarnation
     * @param customer the customer's name
     * @param slot the slot of the share in the table
     * @param tokens the number of tokens
     * @param light whether the claim may use the reserve for light requests
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
