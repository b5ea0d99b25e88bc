package org.whinhead.daemon.peers;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipView;

/** Publishes changes of the membership view and repeats each until the listener accepts it. */
final class ViewChangePublisher {

    /** The remaining time presumed for a leaving VM if only the VM list reports it. */
    private static final Duration DEFAULT_NOTICE = Duration.ofSeconds(5);

    private final VmId mSelf;
    private final Function<VmId, Optional<Instant>> mGoneBy;
    private final PeerServiceListener mListener;
    private final Set<EndpointId> mPublishedLeaving = new HashSet<>();
    private Map<EndpointId, Endpoint> mDescribed = Map.of();
    private List<Endpoint> mPublishedEndpoints = List.of();
    private boolean mEndpointsKnown;
    private boolean mOwnLeavingPublished;
    private boolean mPending;

    ViewChangePublisher(
            final VmId self,
            final Function<VmId, Optional<Instant>> goneBy,
            final PeerServiceListener listener) {
        mSelf = self;
        mGoneBy = goneBy;
        mListener = listener;
    }

    /** Updates the endpoints with their loaded models, which the VM list lacks. */
    void endpointsDescribed(final List<Endpoint> endpoints) {
        final Map<EndpointId, Endpoint> described = new HashMap<>();
        endpoints.forEach(endpoint -> described.put(endpoint.id(), endpoint));
        mDescribed = described;
        mEndpointsKnown = true;
        mPending = true;
    }

    void viewChanged() {
        mPending = true;
    }

    /** Suppresses the event of the own VM's leaving, because the daemon is already stopping. */
    void ownStopBegun() {
        mOwnLeavingPublished = true;
    }

    /**
     * Publishes the changes that the listener has not accepted yet.
     *
     * <p>Guards against a full decision ring, which would lose the event of a leaving endpoint, so
     * that requests would still be sent there: an event that was not accepted is repeated at the
     * next tick.
     */
    void publish(final MembershipView view, final Instant now) {
        if (!mPending) {
            return;
        }
        mPending = false;
        mListener.addressesChanged(addresses(view));
        publishOwnVmLeaving(view, now);
        if (mEndpointsKnown) {
            final List<Endpoint> endpoints = mergeEndpoints(view);
            publishEndpoints(endpoints);
            publishLeaving(endpoints, now);
        }
    }

    private void publishEndpoints(final List<Endpoint> endpoints) {
        if (endpoints.equals(mPublishedEndpoints) && !endpoints.isEmpty()) {
            return;
        }
        if (mListener.endpointsChanged(endpoints)) {
            mPublishedEndpoints = endpoints;
        } else {
            mPending = true;
        }
    }

    private void publishLeaving(final List<Endpoint> endpoints, final Instant now) {
        final Set<EndpointId> leaving = new HashSet<>();
        for (final Endpoint endpoint : endpoints) {
            if (endpoint.vm().state() == VmState.LEAVING) {
                leaving.add(endpoint.id());
                if (!mPublishedLeaving.contains(endpoint.id())) {
                    publishLeaving(endpoint, now);
                }
            }
        }
        mPublishedLeaving.retainAll(leaving);
    }

    private void publishLeaving(final Endpoint endpoint, final Instant now) {
        if (mListener.endpointLeaving(endpoint.id(), goneBy(endpoint.vm().id(), now))) {
            mPublishedLeaving.add(endpoint.id());
        } else {
            mPending = true;
        }
    }

    private void publishOwnVmLeaving(final MembershipView view, final Instant now) {
        final boolean leaving =
                view.daemon(mSelf).filter(self -> self.vm().state() == VmState.LEAVING).isPresent();
        if (leaving && !mOwnLeavingPublished) {
            mOwnLeavingPublished = mListener.ownVmLeaving(goneBy(mSelf, now));
            mPending |= !mOwnLeavingPublished;
        }
    }

    private Instant goneBy(final VmId vm, final Instant now) {
        return mGoneBy.apply(vm).orElseGet(() -> now.plus(DEFAULT_NOTICE));
    }

    private List<Endpoint> mergeEndpoints(final MembershipView view) {
        final Map<EndpointId, Endpoint> mergedById = new HashMap<>(mDescribed);
        for (final Endpoint endpoint : view.endpoints()) {
            final Endpoint described = mDescribed.getOrDefault(endpoint.id(), endpoint);
            mergedById.put(endpoint.id(), described.withVmState(endpoint.vm().state()));
        }
        final List<Endpoint> endpoints = new ArrayList<>(mergedById.values());
        endpoints.removeIf(endpoint -> !endpoint.vm().state().canStillAnswer());
        endpoints.sort(Comparator.comparing(endpoint -> endpoint.id().value()));
        return endpoints;
    }

    private static List<EntryAddress> addresses(final MembershipView view) {
        final Map<URI, EntryAddress> byUri = new HashMap<>();
        for (final DaemonMember member : view.daemons()) {
            byUri.put(
                    member.callerAddress(),
                    new EntryAddress(member.callerAddress(), member.vm().domain()));
        }
        return view.callerAddresses().stream().distinct().map(byUri::get).toList();
    }
}
