package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.stream.StreamOrigin;

class EndpointSelectionTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final StreamOrigin ORIGIN = new StreamOrigin("pool", "v1");

    private final ServingState mState = TestServing.state(() -> NOW);
    private final EndpointSelection mSelection = mState.selection();

    private void list(final String id, final String version, final long offset) {
        mState.endpoints()
                .put(
                        EndpointEntry.builder(
                                        id,
                                        "pool",
                                        new InetSocketAddress("127.0.0.1", 9000),
                                        "domain-a")
                                .version(version)
                                .build(),
                        offset);
    }

    @Test
    void newRequestsGoToAllVersionsAndStreamsToTheirs() {
        list("e-1", "v1", 1);
        list("e-2", "v1.1", 2);
        assertThat(mSelection.candidates("pool", "draft", "r-1", false)).hasSize(2);
        assertThat(mSelection.continuationCandidates(ORIGIN))
                .extracting(EndpointEntry::id)
                .containsExactly("e-1");
        assertThat(mSelection.canContinue(ORIGIN)).isTrue();
        assertThat(mSelection.canContinue(new StreamOrigin("pool", "v2"))).isFalse();
    }

    @Test
    void streamOfUnknownOriginHasNoneWithoutHistory() {
        list("e-1", "v1", 1);
        assertThat(mSelection.onlyOrigin("pool", Duration.ofSeconds(1))).isEmpty();
        mState.versions().recordConfirmed(NOW);
        assertThat(mSelection.onlyOrigin("pool", Duration.ZERO)).contains(ORIGIN);
    }
}
