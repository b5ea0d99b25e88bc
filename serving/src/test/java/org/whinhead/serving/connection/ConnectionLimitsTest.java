package org.whinhead.serving.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.configuration.ServiceSpec;

class ConnectionLimitsTest {

    private final ConnectionLimits mLimits = new ConnectionLimits();

    private static ServiceSpec service(final int maxConnections) {
        return new ServiceSpec(
                "pool", "/health", maxConnections, true, Optional.empty(), Optional.empty());
    }

    // Guards against resets by endpoints: parts that are rounded up exceed the limit together.
    @Test
    void partsAreRoundedDown() {
        mLimits.setDaemons(75);
        assertThat(mLimits.part(service(510))).isEqualTo(6);
        mLimits.setDaemons(330);
        assertThat(mLimits.part(service(900))).isEqualTo(2);
    }

    // Guards against a daemon whose callers are refused for good.
    @Test
    void daemonKeepsOneConnectionIfThereAreMoreDaemonsThanConnections() {
        mLimits.setDaemons(330);
        assertThat(mLimits.part(service(100))).isEqualTo(1);
        assertThat(mLimits.mayOpen(service(100), 0)).isTrue();
        assertThat(mLimits.mayOpen(service(100), 1)).isFalse();
    }

    @Test
    void daemonThatKnowsNoOtherHasAllConnections() {
        assertThat(mLimits.part(service(510))).isEqualTo(510);
        mLimits.setDaemons(0);
        assertThat(mLimits.part(service(510))).isEqualTo(510);
    }

    @Test
    void noConnectionIsOpenedBeyondThePart() {
        mLimits.setDaemons(100);
        assertThat(mLimits.mayOpen(service(510), 4)).isTrue();
        assertThat(mLimits.mayOpen(service(510), 5)).isFalse();
    }
}
