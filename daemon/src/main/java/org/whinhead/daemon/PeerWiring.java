package org.whinhead.daemon;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.clients.cloud.NoticeClient;
import org.whinhead.clients.cloud.ReclaimNotice;
import org.whinhead.clients.http.HttpCaller;
import org.whinhead.clients.vms.VmListClient;
import org.whinhead.clients.vms.VmListing;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.decision.DecisionLoop;
import org.whinhead.daemon.duty.EndpointPoller;
import org.whinhead.daemon.duty.ReclaimNoticePoller;
import org.whinhead.daemon.limits.LimitTracker;
import org.whinhead.daemon.log.LogService;
import org.whinhead.daemon.peers.PeerService;
import org.whinhead.daemon.peers.PeerServiceListener;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.membership.LeavingNotice;
import org.whinhead.peer.PeerException;
import org.whinhead.routing.AffinityRouter;
import org.whinhead.routing.LoadReport;
import org.whinhead.settings.daemon.DaemonSettings;

/** Passes platform events to the peer service, and events of both to the decision thread. */
final class PeerWiring implements EndpointPoller.Listener, PeerServiceListener, AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerWiring.class);

    private final DaemonOptions mOptions;
    private final LocalDaemonState mState;
    private final DecisionLoop mLoop;
    private final AffinityRouter mRouter;
    private final LimitTracker mLimits;
    private final PeerService mPeers;
    private EndpointPoller mEndpoints;
    private ReclaimNoticePoller mNotices;

    PeerWiring(
            final DaemonSettings settings,
            final DaemonOptions options,
            final HttpCaller caller,
            final LocalDaemonState state,
            final DecisionLoop loop,
            final AffinityRouter router,
            final LimitTracker limits,
            final LogService log) {
        mOptions = options;
        mState = state;
        mLoop = loop;
        mRouter = router;
        mLimits = limits;
        try {
            mPeers =
                    PeerService.start(
                            settings,
                            state.id(),
                            options.clock(),
                            caller.anyThread(),
                            () -> log.snapshot().fold().state().asOf(),
                            this);
        } catch (final PeerException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Starts polling the platform. */
    void start(final DaemonSettings settings, final HttpCaller caller) {
        mEndpoints =
                new EndpointPoller(
                        settings.name() + "-platform",
                        caller,
                        new VmListClient(caller, settings.platform().vms()),
                        this);
        mNotices =
                new ReclaimNoticePoller(
                        new NoticeClient(caller, settings.platform().cloud()),
                        caller.anyThread(),
                        this::onReclaimNotice);
    }

    PeerService peers() {
        return mPeers;
    }

    private void onReclaimNotice(final ReclaimNotice notice) {
        mPeers.noticeReceived(new LeavingNotice(Set.of(notice.vm()), notice.goneBy()));
    }

    @Override
    public void endpointsDescribed(final List<Endpoint> endpoints) {
        mPeers.endpointsDescribed(endpoints);
    }

    @Override
    public void loadPolled(final LoadReport report) {
        loadReported(report);
        mPeers.loadPolled(report);
    }

    @Override
    public void vmListRead(final VmListing listing) {
        mPeers.vmListRead(listing);
    }

    @Override
    public boolean isPolledHere(final EndpointId endpoint) {
        return mPeers.isPolledHere(endpoint);
    }

    @Override
    public boolean endpointsChanged(final List<Endpoint> endpoints) {
        mLimits.endpointsChanged(endpoints);
        final boolean accepted =
                mLoop.offer(new DecisionEvent.Task(() -> mRouter.endpointsChanged(endpoints)));
        if (accepted) {
            mState.endpointsChanged(endpoints);
        }
        return accepted;
    }

    @Override
    public boolean endpointLeaving(final EndpointId endpoint, final Instant goneBy) {
        return mLoop.offer(new DecisionEvent.Task(() -> mRouter.endpointLeaving(endpoint)))
                && mLoop.offer(new DecisionEvent.EndpointLeaving(endpoint, goneBy));
    }

    @Override
    public void addressesChanged(final List<EntryAddress> addresses) {
        mState.addressesChanged(addresses);
    }

    /**
     * Begins a graceful stop that ends when the VM does. Guards against a daemon that accepts new
     * requests until its VM disappears, which would cut every answer in progress without a ticket.
     */
    @Override
    public boolean ownVmLeaving(final Instant goneBy) {
        LOGGER.atInfo()
                .addKeyValue("goneBy", goneBy)
                .log("own VM is being reclaimed, daemon stopping");
        mState.beginStop();
        return mLoop.offer(new DecisionEvent.Stopping(goneBy));
    }

    @Override
    public void loadReported(final LoadReport report) {
        final Instant now = mOptions.clock().instant();
        mLoop.offer(new DecisionEvent.Task(() -> mRouter.loadReported(report, now)));
    }

    @Override
    public void close() {
        mNotices.close();
        mEndpoints.close();
        mPeers.close();
    }
}
