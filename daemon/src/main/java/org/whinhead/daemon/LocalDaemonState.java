package org.whinhead.daemon;

import java.net.URI;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.daemon.limits.LimitBoard;
import org.whinhead.daemon.operator.DaemonStatus;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.daemon.view.DeploymentViewFactory;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.deployment.DeploymentSettings;

/** What a daemon knows of itself and of the settings in force; read from any thread. */
final class LocalDaemonState implements DaemonStatus {

    private final DaemonId mId;
    private final EntryAddress mOwn;
    private final LiveRequests mRequests;
    private final LimitBoard mLimits;
    private volatile InForce mInForce =
            new InForce(DeploymentSettings.EMPTY, DeploymentView.EMPTY, -1);
    private volatile List<EntryAddress> mListed = List.of();
    private volatile boolean mEndpointsKnown;
    private volatile boolean mStopping;

    LocalDaemonState(
            final DaemonSettings settings, final LiveRequests requests, final LimitBoard limits) {
        mId = new DaemonId(settings.name() + "-" + UUID.randomUUID());
        mOwn = new EntryAddress(settings.publicUri(), settings.domain());
        mRequests = requests;
        mLimits = limits;
    }

    void settingsChanged(final DeploymentSettings settings, final long revision) {
        mLimits.settingsChanged(settings);
        mInForce = new InForce(settings, DeploymentViewFactory.of(settings), revision);
    }

    void addressesChanged(final List<EntryAddress> listed) {
        mLimits.daemonsChanged(listed.size());
        mListed = listed;
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

    /** Returns the listed addresses; without its own, if it stops, and with it otherwise. */
    @Override
    public List<EntryAddress> addresses() {
        final URI own = mOwn.uri();
        final boolean listed = mListed.stream().anyMatch(address -> address.uri().equals(own));
        if (mStopping) {
            return mListed.stream().filter(address -> !address.uri().equals(own)).toList();
        }
        if (listed) {
            return mListed;
        }
        return Stream.concat(mListed.stream(), Stream.of(mOwn)).toList();
    }

    /** The settings in force with what follows from them. */
    private record InForce(DeploymentSettings settings, DeploymentView view, long revision) {}
}
