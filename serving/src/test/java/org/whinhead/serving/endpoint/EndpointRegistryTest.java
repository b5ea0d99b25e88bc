package org.whinhead.serving.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final EndpointRegistry mRegistry = new EndpointRegistry();

    private static EndpointEntry entry(final String id, final boolean leaving) {
        return entry(id, leaving, Optional.empty());
    }

    private static EndpointEntry entry(
            final String id, final boolean leaving, final Optional<Instant> startedAt) {
        return EndpointEntry.builder(
                        id, "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .slots(96)
                .leaving(leaving, Optional.empty())
                .started(startedAt, Duration.ZERO)
                .build();
    }

    // Prompts are sent to a server as cached there and take ten times as long; runs that it had
    // seem to go on. It had crashed and started again under the id that it had.
    @Test
    void laterStartUnderTheSameIdIsAnotherEndpoint() {
        mRegistry.put(entry("e1", false, Optional.of(START)), 1);
        assertThat(mRegistry.put(entry("e1", false, Optional.of(START)), 2))
                .isEqualTo(EntryEffect.NONE);
        assertThat(mRegistry.put(entry("e1", false, Optional.of(START.plusSeconds(9))), 3))
                .isEqualTo(EntryEffect.RESTARTED);
    }

    // A server that announced to leave, crashed and is back under its id never gets work again.
    @Test
    void laterStartIsNotLeavingAsTheOneBeforeWas() {
        mRegistry.put(entry("e1", true, Optional.of(START)), 1);
        mRegistry.put(entry("e1", false, Optional.of(START.plusSeconds(9))), 2);
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    // A server that has just started again gets no work, and what is known of it is dropped twice:
    // the last write of its earlier start was carried out behind the first one of this start.
    @Test
    void lateWriteOfAnEarlierStartChangesNothing() {
        mRegistry.put(entry("e1", false, Optional.of(START.plusSeconds(9))), 1);
        assertThat(mRegistry.put(entry("e1", true, Optional.of(START)), 2))
                .isEqualTo(EntryEffect.NONE);
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    @Test
    void unreadableRecordStopsNewWorkUntilTheEndpointWritesAgain() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.put(entry("e2", false), 2);
        assertThat(mRegistry.markUnreadable("e1", 3)).isTrue();
        assertThat(mRegistry.markUnreadable("e1", 4)).isFalse();
        assertThat(mRegistry.markUnreadable("other", 5)).isFalse();
        assertThat(mRegistry.usable("pool")).extracting(EndpointEntry::id).containsExactly("e2");
        assertThat(mRegistry.put(entry("e1", false), 6)).isEqualTo(EntryEffect.CHANGED);
        assertThat(mRegistry.usable("pool")).hasSize(2);
    }

    @Test
    void unreadableRecordThatIsOlderChangesNothing() {
        mRegistry.put(entry("e1", false), 5);
        assertThat(mRegistry.markUnreadable("e1", 3)).isFalse();
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    @Test
    void leavingEndpointGetsNoNewWork() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.put(entry("e1", true), 2);
        assertThat(mRegistry.usable("pool")).isEmpty();
        assertThat(mRegistry.find("e1")).isPresent();
    }

    // Requests reach a server long after it announced to leave. Its announcement was read, then a
    // listing that lags showed the entry from before, and the server counted as ready again.
    @Test
    void lateListingDoesNotBringLeavingEndpointBack() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.put(entry("e1", true), 5);
        mRegistry.put(entry("e1", false), 1);
        assertThat(mRegistry.usable("pool")).isEmpty();
        mRegistry.put(entry("e1", false), 6);
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    @Test
    void removalInCalmTimesTakesEffectAtOnce() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.remove("e1", 2, START);
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    // All requests fail for two seconds after the store was away. Nobody could write heartbeats, so
    // every entry lapsed, and the daemon dropped endpoints that were alive all the while.
    @Test
    void entryThatLapsedAroundAnOutageStaysInUseUntilItIsDue() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.recordOutage(START);
        mRegistry.retain(Set.of(), 3, START.plusMillis(400));
        assertThat(mRegistry.usable("pool")).hasSize(1);
        assertThat(mRegistry.expire(START.plusMillis(2_000))).isEmpty();
        assertThat(mRegistry.expire(START.plusMillis(3_000))).containsExactly("e1");
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    // A request reaches a server 2.2 s after its entry was removed. Just before, the store had
    // turned
    // this daemon away for some seconds, and the removal was taken for a lapse.
    @Test
    void removalSoonAfterAnOutageTakesEffectInTime() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.recordOutage(START);
        mRegistry.remove("e1", 2, START.plusMillis(1_200));
        assertThat(mRegistry.usable("pool")).hasSize(1);
        assertThat(mRegistry.expire(START.plusMillis(2_600))).containsExactly("e1");
    }

    @Test
    void lapsedEntryThatComesBackStays() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.recordOutage(START);
        mRegistry.retain(Set.of(), 3, START.plusMillis(400));
        mRegistry.put(entry("e1", false), 4);
        assertThat(mRegistry.expire(START.plusSeconds(5))).isEmpty();
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    @Test
    void listingOlderThanWhatIsKnownRemovesNothing() {
        mRegistry.put(entry("e1", false), 9);
        mRegistry.retain(Set.of(), 8, START);
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    @Test
    void endpointWhoseAddressAnswersForAnotherIsNotUsedAgain() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.markReplaced("e1");
        mRegistry.put(entry("e1", false), 2);
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    // A server that is gone gets requests. Another daemon told of its removal, but the datagram
    // that
    // had told of its coming was lost; then this daemon read the older records itself.
    @Test
    void removalOfAnEndpointThatWasNotKnownYetIsRemembered() {
        assertThat(mRegistry.remove("e1", 5, START)).isFalse();
        mRegistry.put(entry("e1", false), 3);
        assertThat(mRegistry.usable("pool")).isEmpty();
        mRegistry.put(entry("e1", false), 6);
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }
}
