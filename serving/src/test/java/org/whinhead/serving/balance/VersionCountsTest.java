package org.whinhead.serving.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;

class VersionCountsTest {

    private static final EndpointEntry FIRST = endpoint("e-1", "v1");
    private static final EndpointEntry SECOND = endpoint("e-2", "v1");
    private static final EndpointEntry OTHER = endpoint("e-3", "v1.1");

    private static EndpointEntry endpoint(final String id, final String version) {
        return EndpointEntry.builder(
                        id, "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .version(version)
                .build();
    }

    @Test
    void endpointWithoutOthersOfItsVersionIsTheOnlyOne() {
        final VersionCounts counts = VersionCounts.of(List.of(FIRST, SECOND, OTHER));
        assertThat(counts.isOnlyOne(OTHER)).isTrue();
        assertThat(counts.isOnlyOne(FIRST)).isFalse();
    }

    // Guards against a service with a single endpoint that avoids it.
    @Test
    void onlyEndpointOfTheOnlyVersionIsNotSingledOut() {
        assertThat(VersionCounts.of(List.of(FIRST)).isOnlyOne(FIRST)).isFalse();
        assertThat(VersionCounts.of(List.of()).isOnlyOne(FIRST)).isFalse();
    }
}
