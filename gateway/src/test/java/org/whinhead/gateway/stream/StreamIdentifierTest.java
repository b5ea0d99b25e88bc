package org.whinhead.gateway.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.serving.stream.StreamKey;

class StreamIdentifierTest {

    private static StreamKey key(
            final String customer, final String target, final String id, final String firstId) {
        final CallerRequest request =
                CallerRequest.builder()
                        .id(id)
                        .call(HttpMethod.POST, "desk.example", target)
                        .forwardedHeaders(new DefaultHttpHeaders())
                        .build();
        return StreamIdentifier.identify(request, Optional.of(customer), firstId);
    }

    @Test
    void keyIsTheSameForEachAttempt() {
        assertThat(key("clinic", "/drafts/1", "r-1", "r-1"))
                .isEqualTo(key("clinic", "/drafts/1", "r-2", "r-1"));
    }

    // Guards against a caller that resumes, displaces or spoils streams of others by their ids.
    @Test
    void otherCustomersAndTargetsHaveOtherKeys() {
        final StreamKey key = key("clinic", "/drafts/1", "r-1", "r-1");
        assertThat(key("bailiff", "/drafts/1", "r-1", "r-1")).isNotEqualTo(key);
        assertThat(key("clinic", "/drafts/2", "r-1", "r-1")).isNotEqualTo(key);
        assertThat(key("clinic", "/drafts/1", "r-1", "r-2")).isNotEqualTo(key);
    }
}
