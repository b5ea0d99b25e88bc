package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OfferedLoadTest {

    private final OfferedLoad mOfferedLoad = new OfferedLoad();

    // Endpoints are lost and requests that were admitted come to nothing. If they did not count,
    // the demand would seem to fall and no endpoints would be ordered in place of the lost ones.
    @Test
    void refundedRequestsCountAsDemand() {
        mOfferedLoad.recordAdmitted(100);
        mOfferedLoad.recordRefunded(100);
        assertThat(mOfferedLoad.fleetTokens()).isEqualTo(100);
        assertThat(mOfferedLoad.ownTokens()).isZero();
    }

    @Test
    void peerCountsAreAddedAfterTheirFirstReport() {
        mOfferedLoad.updatePeer("d-2", 1_000);
        mOfferedLoad.updatePeer("d-2", 1_500);
        mOfferedLoad.updatePeer("d-2", 1_400);
        assertThat(mOfferedLoad.fleetTokens()).isEqualTo(500);
    }

    @Test
    void meanRequestTokensIsWeightedByTokens() {
        assertThat(mOfferedLoad.meanRequestTokens()).isZero();
        mOfferedLoad.recordAdmitted(100);
        mOfferedLoad.recordAdmitted(300);
        assertThat(mOfferedLoad.meanRequestTokens()).isEqualTo(250);
    }
}
