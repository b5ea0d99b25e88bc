package org.whinhead.serving.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class EngineLinkTest {

    @Test
    void copyRateFollowsFromLinkSpeedAndTokenSize() {
        final EngineLink link = new EngineLink(131_072, 260_000);
        assertThat(link.tokensPerMillisecond()).isCloseTo(247.96, within(0.01));
    }

    @Test
    void zeroLinkSpeedIsRejected() {
        assertThatThrownBy(() -> new EngineLink(1, 0)).isInstanceOf(IllegalArgumentException.class);
    }
}
