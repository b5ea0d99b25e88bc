package org.whinhead.serving.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationHolderTest {

    private static ServingConfiguration version(final long number) {
        return new ServingConfiguration(
                number, List.of(), List.of(), CallerLimits.INITIAL, List.of());
    }

    // A key that was taken away works again for some seconds. The newest version was read, then a
    // copy of the store that lags answered the next read with the version before.
    @Test
    void olderVersionIsRejected() {
        final ConfigurationHolder holder = new ConfigurationHolder();
        assertThat(holder.offer(version(7))).isTrue();
        assertThat(holder.offer(version(4))).isFalse();
        assertThat(holder.offer(version(7))).isFalse();
        assertThat(holder.current().orElseThrow().version()).isEqualTo(7);
    }
}
