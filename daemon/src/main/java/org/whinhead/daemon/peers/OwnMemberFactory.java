package org.whinhead.daemon.peers;

import java.net.InetSocketAddress;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.settings.daemon.DaemonSettings;

/** Makes the description of itself that a daemon gives to its peers. */
final class OwnMemberFactory {

    private static final String MACHINE_CLASS = "entry";

    private OwnMemberFactory() {}

    /**
     * Describes the daemon. One that listens on every address is reached at the address that
     * callers are told.
     */
    static DaemonMember of(final DaemonSettings settings, final int port) {
        final String listens = settings.listen().peers().host();
        final boolean anywhere =
                new InetSocketAddress(listens, port).getAddress().isAnyLocalAddress();
        final String host = anywhere ? settings.publicUri().getHost() : listens;
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
