package org.whinhead.daemon.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.api.request.RequestId;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipView;
import org.whinhead.peer.PeerCounters;
import org.whinhead.peer.PeerException;
import org.whinhead.peer.PeerTransport;
import org.whinhead.peer.generated.PeerProto.Envelope;
import org.whinhead.peer.generated.PeerProto.TicketNote;

/** Checks that tickets are found after the loss of daemons, over a transport in memory. */
final class TicketSharingTest {

    private static final int DAEMONS = 9;
    private static final int REQUESTS = 200;
    private static final int EVEN_REQUESTS = 4_000;
    private static final int DOMAINS = 3;
    private static final int KEEPERS = 4;

    private final Map<VmId, DaemonMember> mMembers = new HashMap<>();
    private final Map<VmId, TicketSharing> mSharings = new HashMap<>();
    private final Set<VmId> mLost = new HashSet<>();

    @BeforeEach
    void startDaemons() {
        for (int i = 0; i < DAEMONS; i++) {
            final VmId id = vm(i);
            mMembers.put(id, member(id, domain(i)));
        }
        for (int i = 0; i < DAEMONS; i++) {
            final MembershipView view = view(i);
            mSharings.put(vm(i), new TicketSharing(new MemoryTransport(), vm(i), () -> view));
        }
    }

    /** Guards against a whole answer that is computed again after its daemon is lost. */
    @Test
    void ticketOfLostDaemonIsFoundByEveryOtherOne() {
        for (int i = 0; i < REQUESTS; i++) {
            sharing(i % DAEMONS).store(request(i), "ticket-" + i);
        }
        mLost.add(vm(0));

        for (int i = 0; i < REQUESTS; i += DAEMONS) {
            for (int finder = 1; finder < DAEMONS; finder++) {
                assertThat(find(finder, request(i))).isEqualTo("ticket-" + i);
            }
        }
    }

    /** Guards against a ticket that is lost with one of the daemons that keep it. */
    @Test
    void ticketIsFoundAfterTheLossOfItsWriterAndOneKeeper() {
        for (int keeper = 1; keeper < DAEMONS; keeper++) {
            mLost.clear();
            final RequestId request = request(keeper);
            sharing(0).store(request, "ticket");
            mLost.add(vm(0));
            mLost.add(vm(keeper));
            final int finder = keeper == 1 ? 2 : 1;
            assertThat(find(finder, request)).isEqualTo("ticket");
        }
    }

    /** Guards against a ticket that is lost with the failure domain of its daemon. */
    @Test
    void ticketIsFoundAfterTheLossOfItsWritersDomain() {
        for (int lost = 0; lost < DOMAINS; lost++) {
            mLost.clear();
            for (int i = 0; i < REQUESTS; i++) {
                sharing(lost).store(request(i), "ticket-" + i);
            }
            for (int daemon = lost; daemon < DAEMONS; daemon += DOMAINS) {
                mLost.add(vm(daemon));
            }
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(find((lost + 1) % DOMAINS, request(i))).isEqualTo("ticket-" + i);
            }
        }
    }

    /** Guards against a ticket that is lost when half of all daemons end at the same time. */
    @Test
    void ticketIsFoundAfterTheLossOfHalfOfTheDaemons() {
        for (int i = 0; i < REQUESTS; i++) {
            sharing(0).store(request(i), "ticket-" + i);
        }
        for (int second = 1; second < DAEMONS; second++) {
            for (int third = second + 1; third < DAEMONS; third++) {
                for (int fourth = third + 1; fourth < DAEMONS; fourth++) {
                    mLost.clear();
                    mLost.addAll(Set.of(vm(0), vm(second), vm(third), vm(fourth)));
                    assertThatEveryTicketIsFound();
                }
            }
        }
    }

    private void assertThatEveryTicketIsFound() {
        for (int finder = 0; finder < DAEMONS; finder++) {
            for (int i = 0; i < REQUESTS && !mLost.contains(vm(finder)); i++) {
                assertThat(find(finder, request(i))).isEqualTo("ticket-" + i);
            }
        }
    }

    /** Guards against a daemon that keeps most tickets of all, and drops them early. */
    @Test
    void keepersAreSpreadEvenly() {
        final Map<VmId, Integer> kept = new HashMap<>();
        for (int i = 0; i < EVEN_REQUESTS; i++) {
            final int writer = i % DAEMONS;
            TicketKeepers.ofOwnRequest(view(writer), vm(writer), request(i))
                    .forEach(keeper -> kept.merge(keeper.id(), 1, Integer::sum));
        }
        final int mean = KEEPERS * EVEN_REQUESTS / DAEMONS;
        assertThat(kept).hasSize(DAEMONS);
        assertThat(kept.values())
                .allSatisfy(count -> assertThat(count).isBetween(mean / 2, mean * 3 / 2));
    }

    @Test
    void unknownRequestHasNoTicket() {
        assertThat(find(1, request(1))).isEmpty();
    }

    @Test
    void requestHasNoTicketIfNoPeerReplies() {
        mLost.addAll(mMembers.keySet());
        assertThat(find(1, request(1))).isEmpty();
    }

    @Test
    void newerTicketReplacesOlderOne() {
        sharing(0).store(request(1), "older");
        sharing(0).store(request(1), "newer");
        assertThat(find(1, request(1))).isEqualTo("newer");
    }

    /** Guards against unbounded memory: the oldest ticket makes room. */
    @Test
    void oldestTicketMakesRoom() {
        final TicketSharing sharing = sharing(0);
        for (int i = 0; i <= TicketSharing.MAX_TICKETS; i++) {
            sharing.receive(
                    TicketNote.newBuilder()
                            .setRequestId(request(i).value())
                            .setTicket("ticket")
                            .build());
        }
        mLost.addAll(mMembers.keySet());
        assertThat(find(0, request(0))).isEmpty();
        assertThat(find(0, request(1))).isEqualTo("ticket");
    }

    private TicketSharing sharing(final int daemon) {
        return mSharings.get(vm(daemon));
    }

    private String find(final int daemon, final RequestId request) {
        return sharing(daemon).find(request).toCompletableFuture().join().orElse("");
    }

    private static VmId vm(final int daemon) {
        return new VmId("entry-" + daemon);
    }

    private static RequestId request(final int number) {
        return new RequestId("customer/request-" + number);
    }

    private static FailureDomain domain(final int daemon) {
        return new FailureDomain("region", "domain-" + daemon % DOMAINS);
    }

    private MembershipView view(final int daemon) {
        return new MembershipView(1, domain(daemon), mMembers, Map.of());
    }

    private static DaemonMember member(final VmId id, final FailureDomain domain) {
        final Vm vm = new Vm(id, "10.0.0.1", domain, "small", Billing.RECLAIMABLE, VmState.LIVE);
        return new DaemonMember(
                vm, new DaemonAddress(id, "10.0.0.1", 1), URI.create("http://10.0.0.1"));
    }

    /** Delivers messages at once, except to lost daemons. */
    private final class MemoryTransport implements PeerTransport {

        @Override
        public void send(final DaemonAddress to, final Envelope message) {
            if (!mLost.contains(to.vm())) {
                mSharings.get(to.vm()).receive(message.getTicketNote());
            }
        }

        @Override
        public CompletableFuture<Envelope> request(
                final DaemonAddress to, final Envelope message, final Duration timeout) {
            return mLost.contains(to.vm())
                    ? CompletableFuture.failedFuture(new PeerException("no reply"))
                    : CompletableFuture.completedFuture(
                            mSharings.get(to.vm()).answer(message.getTicketQuery()));
        }

        @Override
        public void tick() {
            // There are no TLS files.
        }

        @Override
        public PeerCounters counters() {
            throw new UnsupportedOperationException("no counters in memory");
        }

        @Override
        public void close() {
            // There are no connections.
        }
    }
}
