package org.whinhead.serving.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationHolderTest {

    private static ServingConfiguration version(final long number) {
        return new ServingConfiguration(
                number, List.of(), List.of(), CallerLimits.INITIAL, List.of());
    }

    // Guards against a revoked key that works again for some seconds: after the newest version was
    // read, a lagging replica of the store answered the next read with the previous version.
    @Test
    void olderVersionIsRejected() {
        final ConfigurationHolder holder = new ConfigurationHolder();
        assertThat(holder.offer(version(7))).isTrue();
        assertThat(holder.offer(version(4))).isFalse();
        assertThat(holder.offer(version(7))).isFalse();
        assertThat(holder.current().orElseThrow().version()).isEqualTo(7);
    }
}
