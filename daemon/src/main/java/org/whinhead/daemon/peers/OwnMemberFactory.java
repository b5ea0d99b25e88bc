package org.whinhead.daemon.peers;

import java.net.InetSocketAddress;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.settings.daemon.DaemonSettings;

/** Creates the description of this daemon that its peers receive. */
final class OwnMemberFactory {

    private static final String MACHINE_CLASS = "entry";

    private OwnMemberFactory() {}

    /**
     * Returns the description of the daemon. If it listens on a wildcard address, its peers use the
     * host of its address for callers.
     */
    static DaemonMember of(final DaemonSettings settings, final int port) {
        final String listenHost = settings.listen().peers().host();
        final boolean wildcard =
                new InetSocketAddress(listenHost, port).getAddress().isAnyLocalAddress();
        final String host = wildcard ? settings.publicUri().getHost() : listenHost;
        final VmId id = settings.vm();
        final Vm vm =
                new Vm(
                        id,
                        host,
                        settings.domain(),
                        MACHINE_CLASS,
                        Billing.RECLAIMABLE,
                        VmState.LIVE);
        return new DaemonMember(vm, new DaemonAddress(id, host, port), settings.publicUri());
    }
}
