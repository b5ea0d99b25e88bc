package org.whinhead.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;

class StreamOriginTest {

    private static EndpointEntry endpoint(final String service, final String version) {
        return EndpointEntry.builder(
                        "e-1", service, new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .version(version)
                .build();
    }

    @Test
    void streamMatchesItsServiceAndVersionOnly() {
        final StreamOrigin origin = StreamOrigin.of(endpoint("pool", "v1"));
        assertThat(origin.matches(endpoint("pool", "v1"))).isTrue();
        assertThat(origin.matches(endpoint("pool", "v1.1"))).isFalse();
        assertThat(origin.matches(endpoint("other", "v1"))).isFalse();
    }

    // Guards against streams that never continue where entries name no version.
    @Test
    void endpointsWithoutVersionMatchEachOther() {
        assertThat(StreamOrigin.of(endpoint("pool", "")).matches(endpoint("pool", ""))).isTrue();
    }

    @Test
    void lookupWithOriginSaysSo() {
        final StreamOrigin origin = new StreamOrigin("pool", "v1");
        assertThat(StreamLookup.found(origin).origin()).contains(origin);
        assertThatThrownBy(() -> new StreamLookup(StreamLookup.Knowledge.NONE, Optional.of(origin)))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
