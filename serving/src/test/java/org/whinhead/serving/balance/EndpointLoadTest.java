package org.whinhead.serving.balance;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndpointLoadTest {

    private final EndpointLoad mLoad = new EndpointLoad(200_000);

    @Test
    void reportReplacesThePreviousOneOfItsDaemon() {
        mLoad.updatePeer("a", 3, 1_000);
        mLoad.updatePeer("b", 2, 500);
        mLoad.updatePeer("a", 1, 100);
        assertThat(mLoad.running()).isEqualTo(3);
        assertThat(mLoad.promptTokens()).isEqualTo(600);
    }

    // Guards against an endpoint that looks busy for good, as the requests of a daemon that has
    // left are counted on or are taken off twice.
    @Test
    void forgottenDaemonCountsNoMore() {
        mLoad.updatePeer("a", 3, 1_000);
        mLoad.updatePeer("b", 2, 500);
        mLoad.forgetPeer("a");
        mLoad.forgetPeer("a");
        assertThat(mLoad.running()).isEqualTo(2);
        assertThat(mLoad.promptTokens()).isEqualTo(500);
    }
}
