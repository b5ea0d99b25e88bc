package org.whinhead.serving.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;

class EndpointChooserTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private final EndpointChooser mChooser = chooser(1);

    private static EndpointChooser chooser(final long seed) {
        return new EndpointChooser("domain-a", new Random(seed));
    }

    private static List<EndpointEntry> endpoints(final int count) {
        return IntStream.range(0, count)
                .mapToObj(
                        index ->
                                EndpointEntry.builder(
                                                "e" + index,
                                                "pool",
                                                new InetSocketAddress("127.0.0.1", 9000 + index),
                                                "domain-a")
                                        .slots(96)
                                        .build())
                .toList();
    }

    private static Work work(final String session) {
        return new Work(
                List.of(new PromptPart("common", 2_500), new PromptPart(session, 3_800)),
                9_000,
                50);
    }

    private String place(final List<EndpointEntry> endpoints, final Work work) {
        final Placement placement =
                mChooser.place(endpoints, work, Set.of(), false, NOW).orElseThrow();
        placement.release();
        return placement.endpoint().id();
    }

    @Test
    void sessionStaysWhereItsPromptIsCached() {
        final List<EndpointEntry> endpoints = endpoints(4);
        final String first = place(endpoints, work("s1"));
        assertThat(place(endpoints, work("s1"))).isEqualTo(first);
    }

    @Test
    void daemonsComputeTheSameHomeOfNewSessions() {
        final List<EndpointEntry> endpoints = endpoints(4);
        final Set<String> homes = new HashSet<>();
        for (int session = 0; session < 20; session++) {
            final EndpointChooser other = chooser(2);
            final Work work = work("s" + session);
            final String there =
                    other.place(endpoints, work, Set.of(), false, NOW)
                            .orElseThrow()
                            .endpoint()
                            .id();
            final String here =
                    chooser(3)
                            .place(endpoints, work, Set.of(), false, NOW)
                            .orElseThrow()
                            .endpoint()
                            .id();
            assertThat(here).isEqualTo(there);
            homes.add(here);
        }
        assertThat(homes).hasSize(4);
    }

    @Test
    void loadOfOtherDaemonsSendsRequestsElsewhere() {
        final List<EndpointEntry> endpoints = endpoints(2);
        final String home = place(endpoints, work("s1"));
        mChooser.updatePeerLoad("other", home, 40, 60_000);
        assertThat(place(endpoints, work("s1"))).isNotEqualTo(home);
    }

    @Test
    void loadOfForgottenDaemonNoLongerCounts() {
        final List<EndpointEntry> endpoints = endpoints(2);
        final String home = place(endpoints, work("s1"));
        mChooser.updatePeerLoad("other", home, 40, 60_000);
        mChooser.forgetPeer("other");
        assertThat(place(endpoints, work("s1"))).isEqualTo(home);
    }

    // Guards against prefilling half of a busy session's prompts twice: its home is full, so its
    // requests are sent to another server, which prefills 6,300 tokens that the home has cached. A
    // copy takes some milliseconds.
    @Test
    void promptIsCopiedFromItsHomeIfTheRequestIsSentElsewhere() {
        final List<EndpointEntry> endpoints = endpoints(2);
        final String home = place(endpoints, work("s1"));
        mChooser.updatePeerLoad("other", home, 40, 60_000);
        final Placement away = copying(endpoints, work("s1"));
        assertThat(away.endpoint().id()).isNotEqualTo(home);
        assertThat(away.promptSource()).map(EndpointEntry::id).contains(home);
    }

    @Test
    void promptIsCopiedFromTheHomeThatOtherDaemonsUse() {
        final List<EndpointEntry> endpoints = endpoints(2);
        final String home = place(endpoints, work("s1"));
        final EndpointChooser other = chooser(2);
        other.updatePeerLoad("busy", home, 40, 60_000);
        final Placement away =
                other.place(endpoints, work("s1"), Set.of(), true, NOW).orElseThrow();
        assertThat(away.promptSource()).map(EndpointEntry::id).contains(home);
    }

    @Test
    void cachedPromptIsNotCopied() {
        final List<EndpointEntry> endpoints = endpoints(4);
        place(endpoints, work("s1"));
        assertThat(copying(endpoints, work("s1")).promptSource()).isEmpty();
    }

    @Test
    void promptIsNotCopiedFromAnUnreachableEndpoint() {
        final List<EndpointEntry> endpoints = endpoints(2);
        final String home = place(endpoints, work("s1"));
        mChooser.load(home).recordUnreachable(NOW);
        assertThat(copying(endpoints, work("s1")).promptSource()).isEmpty();
    }

    @Test
    void shortSharedPartIsNotCopied() {
        final List<EndpointEntry> endpoints = endpoints(2);
        final Work work = new Work(List.of(new PromptPart("short", 170)), 700, 50);
        assertThat(copying(endpoints, work).promptSource()).isEmpty();
    }

    private Placement copying(final List<EndpointEntry> endpoints, final Work work) {
        return mChooser.place(endpoints, work, Set.of(), true, NOW).orElseThrow();
    }

    // Guards against connection timeouts of many requests to an unreachable server. After the first
    // timeout the server receives no requests for the backoff, and is tried again later.
    @Test
    void unreachableEndpointIsNotUsedDuringBackoff() {
        final List<EndpointEntry> endpoints = endpoints(2);
        final String home = place(endpoints, work("s1"));
        mChooser.load(home).recordUnreachable(NOW);
        assertThat(place(endpoints, work("s1"))).isNotEqualTo(home);
    }

    // Guards against endpoints being avoided for seconds by a daemon that was itself cut off from
    // them when their connections failed.
    @Test
    void endpointIsUsedAtOnceIfItsConnectionFailedOnTheWay() {
        final List<EndpointEntry> endpoints = endpoints(2);
        final String home = place(endpoints, work("s1"));
        mChooser.load(home).recordUnreachable(NOW);
        mChooser.clearUnreachable(endpoints);
        assertThat(place(endpoints, work("s1"))).isEqualTo(home);
    }

    @Test
    void unreachableEndpointIsUsedIfThereIsNoOther() {
        final List<EndpointEntry> endpoints = endpoints(1);
        mChooser.load("e0").recordUnreachable(NOW);
        assertThat(place(endpoints, work("s1"))).isEqualTo("e0");
    }

    @Test
    void triedEndpointIsNotChosenAgain() {
        assertThat(mChooser.place(endpoints(1), work("s1"), Set.of("e0"), false, NOW)).isEmpty();
    }

    // Guards against a queue at one endpoint although others are idle: all daemons choose the
    // endpoint that had the lowest load at the last report, and send everything there until the
    // next.
    @Test
    void daemonsDoNotAllChooseTheIdleEndpoint() {
        final List<EndpointEntry> endpoints = endpoints(20);
        final Map<String, Integer> arrivals = new HashMap<>();
        for (int daemon = 0; daemon < 60; daemon++) {
            final EndpointChooser chooser = chooser(daemon);
            endpoints.stream()
                    .skip(1)
                    .forEach(endpoint -> chooser.updatePeerLoad("peer", endpoint.id(), 12, 8_000));
            for (int request = 0; request < 5; request++) {
                final Work work = new Work(List.of(new PromptPart("short", 170)), 700, 50);
                final Placement placement =
                        chooser.place(endpoints, work, Set.of(), false, NOW).orElseThrow();
                arrivals.merge(placement.endpoint().id(), 1, Integer::sum);
            }
        }
        assertThat(arrivals.get("e0")).isLessThan(4 * 300 / endpoints.size() + 20);
    }

    private static EndpointEntry endpoint(final int number, final String version) {
        return EndpointEntry.builder(
                        "e" + number,
                        "pool",
                        new InetSocketAddress("127.0.0.1", 9000 + number),
                        "domain-a")
                .version(version)
                .slots(96)
                .build();
    }

    // Guards against streams that nobody can continue: they were placed at the only endpoint of a
    // version although others had room.
    @Test
    void onlyEndpointOfVersionIsAvoidedWhileOthersHaveRoom() {
        final List<EndpointEntry> endpoints =
                List.of(endpoint(0, "v1"), endpoint(1, "v1"), endpoint(2, "v1.1"));
        final Set<String> used = new HashSet<>();
        for (int session = 0; session < 30; session++) {
            used.add(place(endpoints, work("s" + session)));
        }
        assertThat(used).doesNotContain("e2");
    }

    @Test
    void onlyEndpointOfVersionIsUsedWhenOthersAreBusy() {
        final List<EndpointEntry> endpoints =
                List.of(endpoint(0, "v1"), endpoint(1, "v1"), endpoint(2, "v1.1"));
        final Set<String> used = new HashSet<>();
        for (int session = 0; session < 30; session++) {
            mChooser.place(endpoints, work("s" + session), Set.of(), false, NOW)
                    .ifPresent(placement -> used.add(placement.endpoint().id()));
        }
        assertThat(used).contains("e2");
    }

    @Test
    void endpointsThatAllHaveDifferentVersionsAreUsedAlike() {
        final List<EndpointEntry> endpoints =
                List.of(endpoint(0, "v1"), endpoint(1, "v1.1"), endpoint(2, "v1.2"));
        final Set<String> used = new HashSet<>();
        for (int session = 0; session < 30; session++) {
            used.add(place(endpoints, work("s" + session)));
        }
        assertThat(used).hasSize(3);
    }

    // Guards against a new connection for each request: of equal endpoints the one that a
    // connection leads to is chosen, also if the sample of the others has none.
    @Test
    void endpointWithIdleConnectionIsChosenAmongEqualOnes() {
        mChooser.preferIdle("e17"::equals);
        for (int request = 0; request < 50; request++) {
            assertThat(place(endpoints(40), Work.PLAIN)).isEqualTo("e17");
        }
    }

    // Guards against a queue at the endpoints that connections lead to: one request of a plain
    // service with six slots costs 10 ms, a connection less.
    @Test
    void idleConnectionDoesNotOutweighRunningRequest() {
        final List<EndpointEntry> endpoints =
                endpoints(4).stream()
                        .map(
                                endpoint ->
                                        EndpointEntry.builder(
                                                        endpoint.id(),
                                                        "plain",
                                                        endpoint.address(),
                                                        "domain-a")
                                                .slots(6)
                                                .build())
                        .toList();
        mChooser.preferIdle("e2"::equals);
        mChooser.updatePeerLoad("peer", "e2", 1, 0);
        assertThat(place(endpoints, Work.PLAIN)).isNotEqualTo("e2");
    }

    @Test
    void shortestWaitIsThatOfTheEndpointThatWouldBeChosen() {
        final List<EndpointEntry> endpoints = endpoints(3);
        mChooser.updatePeerLoad("peer", "e0", 90, 0);
        mChooser.updatePeerLoad("peer", "e1", 40, 0);
        mChooser.updatePeerLoad("peer", "e2", 70, 0);
        // 40 of 96 slots at 60 ms.
        assertThat(mChooser.shortestWait(endpoints, Work.PLAIN, NOW)).hasMillis(25);
    }
}
