package org.whinhead.daemon.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.clients.vms.ListedVm;
import org.whinhead.clients.vms.VmListing;
import org.whinhead.clients.vms.VmRole;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipView;
import org.whinhead.membership.VmListSnapshot;

/** Converts the platform's VM list to the snapshot that membership reads. */
final class VmListConverter {

    private final DaemonMember mSelf;

    VmListConverter(final DaemonMember self) {
        mSelf = self;
    }

    VmListSnapshot snapshot(final VmListing listing, final MembershipView view) {
        final List<DaemonMember> daemons = new ArrayList<>();
        final List<Endpoint> endpoints = new ArrayList<>();
        for (final ListedVm vm : listing.vms()) {
            if (vm.role() == VmRole.ENTRY) {
                peerAddress(vm, view)
                        .map(address -> new DaemonMember(vm.vm(), address, vm.uri()))
                        .ifPresent(daemons::add);
            } else {
                endpoints.add(vm.endpoint(Set.of()));
            }
        }
        return new VmListSnapshot(listing.asOf(), daemons, endpoints);
    }

    /**
     * Returns the peer address of a listed VM; the list holds no peer ports. A daemon unknown to
     * membership is presumed to listen on the same port as this one, except on this daemon's host,
     * where that port is its own.
     */
    private Optional<DaemonAddress> peerAddress(final ListedVm vm, final MembershipView view) {
        final Optional<DaemonMember> known = view.daemon(vm.vm().id());
        if (known.isPresent()) {
            return known.map(DaemonMember::address);
        }
        if (vm.vm().host().equals(mSelf.address().host())) {
            return Optional.empty();
        }
        return Optional.of(new DaemonAddress(vm.vm().id(), vm.vm().host(), mSelf.address().port()));
    }
}
