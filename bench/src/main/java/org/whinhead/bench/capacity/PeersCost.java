package org.whinhead.bench.capacity;

import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.Membership;
import org.whinhead.membership.MembershipActions;
import org.whinhead.membership.MembershipMessage;
import org.whinhead.membership.MembershipSettings;
import org.whinhead.membership.MembershipView;
import org.whinhead.membership.VmListSnapshot;

/** Measures the VM list and membership view of one daemon; MembershipBench measures the traffic. */
public final class PeersCost extends RoleCost {

    private static final int[] DAEMON_COUNTS = {9, 36, 165, 330};
    private static final int ENDPOINTS_AT_FULL_SIZE = 1_800;
    private static final int DAEMONS_AT_FULL_SIZE = 330;
    private static final int PEER_PORT = 7400;

    @Override
    public String name() {
        return "capacity-peers";
    }

    @Override
    public String description() {
        return "CPU and memory of the VM list and the view by daemons";
    }

    @Override
    void measure(final Meter meter, final long seed, final SeriesPrinter out) {
        final Series memory = new Series("membership's memory", "daemons", "bytes");
        final Series list = new Series("unchanged list taken in", "daemons", "ns a list");
        final Series tick = new Series("tick", "daemons", "ns a tick");
        for (final int size : DAEMON_COUNTS) {
            memory.add(size, meter.measureRetainedBytes(() -> new Daemon(size, seed)));
            final Daemon daemon = new Daemon(size, seed);
            list.add(size, meter.measureCpuNanos(daemon::receiveList));
            tick.add(size, meter.measureCpuNanos(daemon::tick));
        }
        out.print(memory, list, tick);
    }

    private static DaemonMember member(final int number) {
        final Vm vm =
                new Vm(
                        new VmId("entry-" + (100_000 + number)),
                        "10.0." + number / 250 + "." + (number % 250 + 1),
                        Fixtures.domain(number),
                        "entry-small",
                        Billing.RECLAIMABLE,
                        VmState.LIVE);
        return new DaemonMember(
                vm,
                new DaemonAddress(vm.id(), vm.host(), PEER_PORT),
                URI.create("http://" + vm.host() + ":8080"));
    }

    /** The membership of one daemon that has received the VM list. */
    private static final class Daemon implements MembershipActions {
        private final List<DaemonMember> mMembers = new ArrayList<>();
        private final List<Endpoint> mEndpoints;
        private final Membership mMembership;
        private Instant mNow = Fixtures.START;
        private long mSent;
        private MembershipView mView;

        Daemon(final int daemons, final long seed) {
            for (int i = 0; i < daemons; i++) {
                mMembers.add(member(i));
            }
            mEndpoints =
                    Fixtures.endpoints(daemons * ENDPOINTS_AT_FULL_SIZE / DAEMONS_AT_FULL_SIZE);
            mMembership =
                    new Membership(
                            MembershipSettings.defaults(),
                            mMembers.get(0),
                            1,
                            new SplittableRandom(seed),
                            this,
                            mNow);
            receiveList();
        }

        long receiveList() {
            mNow = mNow.plusMillis(1);
            mMembership.listReceived(new VmListSnapshot(mNow, mMembers, mEndpoints), mNow);
            return 1;
        }

        long tick() {
            mNow = mNow.plusMillis(1);
            mMembership.tick(mNow);
            return 1;
        }

        @Override
        public void send(final DaemonAddress to, final MembershipMessage message) {
            mSent++;
        }

        @Override
        public void viewChanged(final MembershipView view) {
            mView = view;
        }
    }
}
