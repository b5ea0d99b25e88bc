package org.whinhead.membership;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/** An immutable snapshot of the daemons, endpoints and VM states that one daemon knows. */
public final class MembershipView {

    private final long mVersion;
    private final FailureDomain mOwnDomain;
    private final Map<VmId, DaemonMember> mDaemons;
    private final Map<EndpointId, Endpoint> mEndpoints;

    /**
     * Creates a view.
     *
     * @param version the number of views that this daemon has built
     * @param ownDomain the failure domain of the daemon that holds the view
     * @param daemons the daemons by VM
     * @param endpoints the endpoints by identity
     */
    public MembershipView(
            final long version,
            final FailureDomain ownDomain,
            final Map<VmId, DaemonMember> daemons,
            final Map<EndpointId, Endpoint> endpoints) {
        mVersion = version;
        mOwnDomain = Objects.requireNonNull(ownDomain, "ownDomain");
        mDaemons = Map.copyOf(daemons);
        mEndpoints = Map.copyOf(endpoints);
    }

    /** Returns the version, which increases with each view that this daemon builds. */
    public long version() {
        return mVersion;
    }

    /** Returns the failure domain of the daemon that holds this view. */
    public FailureDomain ownDomain() {
        return mOwnDomain;
    }

    /** Returns all daemons, in no particular order. */
    public Collection<DaemonMember> daemons() {
        return mDaemons.values();
    }

    /** Returns all endpoints, in no particular order. */
    public Collection<Endpoint> endpoints() {
        return mEndpoints.values();
    }

    /**
     * Finds a daemon.
     *
     * @param vm the daemon's VM
     * @return the daemon, if known
     */
    public Optional<DaemonMember> daemon(final VmId vm) {
        return Optional.ofNullable(mDaemons.get(vm));
    }

    /**
     * Finds an endpoint.
     *
     * @param id the endpoint's identity
     * @return the endpoint, if known
     */
    public Optional<Endpoint> endpoint(final EndpointId id) {
        return Optional.ofNullable(mEndpoints.get(id));
    }

    /**
     * Returns the addresses of the live daemons for callers: those of the own failure domain first,
     * then those of the own region, then all others. Suspect daemons are returned only if no daemon
     * is live.
     *
     * @return the addresses, nearest first
     */
    public List<URI> callerAddresses() {
        final List<URI> live = addressesIn(VmState.LIVE);
        return live.isEmpty() ? addressesIn(VmState.SUSPECT) : live;
    }

    private List<URI> addressesIn(final VmState state) {
        final List<DaemonMember> matching = new ArrayList<>();
        for (final DaemonMember member : mDaemons.values()) {
            if (member.vm().state() == state) {
                matching.add(member);
            }
        }
        matching.sort(Comparator.comparing(this::distance).thenComparing(DaemonMember::id));
        return matching.stream().map(DaemonMember::callerAddress).toList();
    }

    private int distance(final DaemonMember member) {
        final FailureDomain domain = member.vm().domain();
        if (domain.equals(mOwnDomain)) {
            return 0;
        }
        return domain.region().equals(mOwnDomain.region()) ? 1 : 2;
    }
}
