package org.whinhead.daemon;

import java.net.URI;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.daemon.limits.LimitTracker;
import org.whinhead.daemon.operator.DaemonStatus;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.daemon.view.DeploymentViewFactory;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.deployment.DeploymentSettings;

/** The state of this daemon and the settings in force; may be read from any thread. */
final class LocalDaemonState implements DaemonStatus {

    private final DaemonId mId;
    private final EntryAddress mOwn;
    private final LiveRequests mRequests;
    private final LimitTracker mLimits;
    private volatile InForce mInForce =
            new InForce(DeploymentSettings.EMPTY, DeploymentView.EMPTY, -1);
    private volatile List<EntryAddress> mAddresses = List.of();
    private volatile boolean mEndpointsKnown;
    private volatile boolean mStopping;

    LocalDaemonState(
            final DaemonSettings settings, final LiveRequests requests, final LimitTracker limits) {
        mId = new DaemonId(settings.name() + "-" + UUID.randomUUID());
        mOwn = new EntryAddress(settings.publicUri(), settings.domain());
        mRequests = requests;
        mLimits = limits;
    }

    void settingsChanged(final DeploymentSettings settings, final long revision) {
        mLimits.settingsChanged(settings);
        mInForce = new InForce(settings, DeploymentViewFactory.of(settings), revision);
    }

    void addressesChanged(final List<EntryAddress> addresses) {
        mLimits.daemonsChanged(addresses.size());
        mAddresses = addresses;
    }

    void endpointsChanged(final List<Endpoint> endpoints) {
        mLimits.endpointsChanged(endpoints);
        mEndpointsKnown = true;
    }

    void beginStop() {
        mStopping = true;
    }

    DeploymentView view() {
        return mInForce.view();
    }

    @Override
    public DaemonId id() {
        return mId;
    }

    @Override
    public boolean isReady() {
        return !mStopping && mEndpointsKnown && !mInForce.view().customers().isEmpty();
    }

    @Override
    public boolean isStopping() {
        return mStopping;
    }

    @Override
    public int inProgress() {
        return mRequests.count();
    }

    @Override
    public DeploymentSettings settings() {
        return mInForce.settings();
    }

    @Override
    public long settingsRevision() {
        return mInForce.revision();
    }

    /** Returns the listed addresses; includes the own address unless the daemon is stopping. */
    @Override
    public List<EntryAddress> addresses() {
        final URI own = mOwn.uri();
        final boolean listed = mAddresses.stream().anyMatch(address -> address.uri().equals(own));
        if (mStopping) {
            return mAddresses.stream().filter(address -> !address.uri().equals(own)).toList();
        }
        if (listed) {
            return mAddresses;
        }
        return Stream.concat(mAddresses.stream(), Stream.of(mOwn)).toList();
    }

    /** The settings in force, the view derived from them and their revision. */
    private record InForce(DeploymentSettings settings, DeploymentView view, long revision) {}
}
