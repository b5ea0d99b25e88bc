package org.whinhead.serving.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointReachTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final String SERVICE = "pool";

    private final EndpointReach mReach = new EndpointReach();

    private static Instant after(final long millis) {
        return START.plus(Duration.ofMillis(millis));
    }

    @Test
    void endpointsAreReachedDirectlyAtFirst() {
        assertThat(mReach.pathTo("e-1", SERVICE)).isEqualTo(AccessPath.DIRECT);
        assertThat(mReach.isCutOff(SERVICE)).isFalse();
        assertThat(mReach.nextRecheck(START)).isEmpty();
    }

    // Guards against moving all callers off a daemon because one endpoint is cut off from it.
    @Test
    void singleRelayedEndpointIsNoCutOfTheService() {
        mReach.recordRelayed("e-1", SERVICE, DirectLoss.SILENT, START);
        assertThat(mReach.pathTo("e-1", SERVICE)).isEqualTo(AccessPath.RELAYED);
        assertThat(mReach.pathTo("e-2", SERVICE)).isEqualTo(AccessPath.DIRECT);
        assertThat(mReach.cutOffServices()).isEmpty();
    }

    // Guards against each request of a daemon that is cut off paying for what is known: two
    // endpoints that only others reach stand for all of the service's.
    @Test
    void twoRelayedEndpointsStandForAllOfTheirService() {
        mReach.recordRelayed("e-1", SERVICE, DirectLoss.SILENT, START);
        mReach.recordRelayed("e-2", SERVICE, DirectLoss.SILENT, after(10));
        assertThat(mReach.pathTo("e-3", SERVICE)).isEqualTo(AccessPath.RELAYED);
        assertThat(mReach.pathTo("a-1", "api")).isEqualTo(AccessPath.DIRECT);
        assertThat(mReach.cutOffServices()).containsExactly(SERVICE);
    }

    @Test
    void directSuccessAtAnotherEndpointContradictsTheCut() {
        mReach.recordRelayed("e-1", SERVICE, DirectLoss.SILENT, START);
        mReach.recordDirect("e-3", SERVICE, after(5));
        mReach.recordRelayed("e-2", SERVICE, DirectLoss.SILENT, after(10));
        assertThat(mReach.isCutOff(SERVICE)).isFalse();
        assertThat(mReach.pathTo("e-1", SERVICE)).isEqualTo(AccessPath.RELAYED);
        assertThat(mReach.pathTo("e-2", SERVICE)).isEqualTo(AccessPath.RELAYED);
        assertThat(mReach.pathTo("e-3", SERVICE)).isEqualTo(AccessPath.DIRECT);
    }

    // Guards against a daemon that stays cut off although its way is open again.
    @Test
    void relayedEndpointThatAnswersDirectlyEndsTheCut() {
        mReach.recordRelayed("e-1", SERVICE, DirectLoss.SILENT, START);
        mReach.recordRelayed("e-2", SERVICE, DirectLoss.SILENT, START);
        mReach.recordRelayed("a-1", "api", DirectLoss.SILENT, START);
        mReach.recordDirect("e-2", SERVICE, after(700));
        assertThat(mReach.pathTo("e-1", SERVICE)).isEqualTo(AccessPath.DIRECT);
        assertThat(mReach.pathTo("a-1", "api")).isEqualTo(AccessPath.RELAYED);
        assertThat(mReach.relayedCount()).isEqualTo(1);
    }

    @Test
    void relayedEndpointsAreCheckedInTurnAtBoundedRate() {
        mReach.recordRelayed("e-1", SERVICE, DirectLoss.SILENT, START);
        mReach.recordRelayed("e-2", SERVICE, DirectLoss.SILENT, START);
        assertThat(mReach.nextRecheck(after(500))).contains("e-1");
        assertThat(mReach.nextRecheck(after(900))).isEmpty();
        assertThat(mReach.nextRecheck(after(1_000))).contains("e-2");
        assertThat(mReach.nextRecheck(after(1_500))).contains("e-1");
    }

    @Test
    void endpointsThatNoLongerExistAreForgotten() {
        mReach.recordRelayed("e-1", SERVICE, DirectLoss.SILENT, START);
        mReach.recordRelayed("e-2", SERVICE, DirectLoss.SILENT, START);
        mReach.retain(List.of("e-2", "e-3"));
        assertThat(mReach.isCutOff(SERVICE)).isFalse();
        assertThat(mReach.relayedCount()).isEqualTo(1);
    }

    // Guards against giving up requests whose connection still works: only new connections are
    // refused.
    @Test
    void openConnectionsAreLostOnlyIfNewOnesGetNoReply() {
        mReach.recordRelayed("e-1", SERVICE, DirectLoss.REFUSED, START);
        mReach.recordRelayed("e-2", SERVICE, DirectLoss.SILENT, START);
        assertThat(mReach.isSilent("e-1", SERVICE)).isFalse();
        assertThat(mReach.isSilent("e-2", SERVICE)).isTrue();
        assertThat(mReach.isSilent("e-3", SERVICE)).isFalse();
        mReach.recordRelayed("e-1", SERVICE, DirectLoss.SILENT, START);
        assertThat(mReach.isSilent("e-3", SERVICE)).isTrue();
    }

    // Guards against daemons that are cut off relaying for each other, as none knows it yet.
    @Test
    void severalEndpointsWithoutAnswerPutTheOwnWayInDoubt() {
        mReach.recordUnanswered("e-1", SERVICE, START);
        assertThat(mReach.mayRelay("e-3", SERVICE, after(1))).isTrue();
        mReach.recordUnanswered("e-2", SERVICE, after(10));
        assertThat(mReach.mayRelay("e-3", SERVICE, after(11))).isFalse();
        assertThat(mReach.mayRelay("a-1", "api", after(11))).isFalse();
        assertThat(mReach.isCutOff(SERVICE)).isFalse();
    }

    // Guards against a daemon that relays for nobody since some endpoints have crashed.
    @Test
    void directSuccessEndsTheDoubt() {
        mReach.recordUnanswered("e-1", SERVICE, START);
        mReach.recordUnanswered("e-2", SERVICE, after(10));
        mReach.recordDirect("e-3", SERVICE, after(20));
        assertThat(mReach.mayRelay("e-3", SERVICE, after(21))).isTrue();
    }

    @Test
    void doubtEndsWithoutFurtherFailures() {
        mReach.recordUnanswered("e-1", SERVICE, START);
        mReach.recordUnanswered("e-2", SERVICE, after(10));
        assertThat(mReach.mayRelay("e-3", SERVICE, after(2_000))).isFalse();
        assertThat(mReach.mayRelay("e-3", SERVICE, after(2_001))).isTrue();
    }

    @Test
    void failuresOfTwoServicesAreNoDoubt() {
        mReach.recordUnanswered("e-1", SERVICE, START);
        mReach.recordUnanswered("a-1", "api", START);
        assertThat(mReach.mayRelay("e-3", SERVICE, after(1))).isTrue();
    }

    @Test
    void relayedEndpointIsRelayedForNobody() {
        mReach.recordRelayed("e-1", SERVICE, DirectLoss.REFUSED, START);
        assertThat(mReach.mayRelay("e-1", SERVICE, START)).isFalse();
        assertThat(mReach.mayRelay("e-2", SERVICE, START)).isTrue();
    }

    // Guards against a daemon that relays for nobody since endpoints were replaced.
    @Test
    void endpointsThatNoLongerExistPutNothingInDoubt() {
        mReach.recordUnanswered("e-1", SERVICE, START);
        mReach.recordUnanswered("e-2", SERVICE, START);
        mReach.retain(List.of("e-1", "e-3"));
        assertThat(mReach.mayRelay("e-3", SERVICE, after(1))).isTrue();
    }
}
