package org.whinhead.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.VmId;

class FailureDetectorTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final VmId DEAD = new VmId("vm-dead");

    /**
     * Guards against two observers that keep a dead daemon live. Their timeouts differ: the first
     * probes through the second, which still confirms; then the second probes through the first,
     * which would confirm because of that reply alone; and so on, while callers are directed to the
     * dead daemon.
     */
    @Test
    void probeReplyDoesNotCountAsOwnMessage() {
        final MembershipSettings settings = MembershipSettings.defaults();
        final FailureDetector detector = new FailureDetector(settings);
        detector.setNeighbors(Set.of(DEAD), START);
        detector.recordHeartbeat(DEAD, START);
        assertThat(detector.hasRecentMessage(DEAD, START)).isTrue();
        final Instant silent = START.plus(settings.minimumTimeout()).plusMillis(1);
        final long nonce = detector.startProbes(silent).get(0).nonce();
        detector.recordProbeReply(DEAD, nonce, silent);
        assertThat(detector.startProbes(silent)).isEmpty();
        assertThat(detector.hasRecentMessage(DEAD, silent)).isFalse();
    }
}
