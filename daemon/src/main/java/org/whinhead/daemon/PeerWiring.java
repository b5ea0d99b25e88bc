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
import org.whinhead.daemon.duty.EndpointWatch;
import org.whinhead.daemon.duty.NoticeWatch;
import org.whinhead.daemon.limits.LimitTracker;
import org.whinhead.daemon.log.LogDuty;
import org.whinhead.daemon.peers.PeerDuty;
import org.whinhead.daemon.peers.PeerDutyListener;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.membership.LeavingNotice;
import org.whinhead.peer.PeerException;
import org.whinhead.routing.AffinityRouter;
import org.whinhead.routing.LoadReport;
import org.whinhead.settings.daemon.DaemonSettings;

/** Joins what platform and peers tell, and passes what follows from it on to the decisions. */
final class PeerWiring implements EndpointWatch.Listener, PeerDutyListener, AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerWiring.class);

    private final DaemonOptions mOptions;
    private final Standing mStanding;
    private final DecisionLoop mLoop;
    private final AffinityRouter mRouter;
    private final LimitTracker mLimits;
    private final PeerDuty mPeers;
    private EndpointWatch mWatch;
    private NoticeWatch mNotices;

    PeerWiring(
            final DaemonSettings settings,
            final DaemonOptions options,
            final HttpCaller caller,
            final Standing standing,
            final DecisionLoop loop,
            final AffinityRouter router,
            final LimitTracker limits,
            final LogDuty log) {
        mOptions = options;
        mStanding = standing;
        mLoop = loop;
        mRouter = router;
        mLimits = limits;
        try {
            mPeers =
                    PeerDuty.start(
                            settings,
                            standing.id(),
                            options.clock(),
                            caller.anyThread(),
                            () -> log.standing().fold().state().asOf(),
                            this);
        } catch (final PeerException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Starts to follow the platform. */
    void start(final DaemonSettings settings, final HttpCaller caller) {
        mWatch =
                new EndpointWatch(
                        settings.name() + "-platform",
                        caller,
                        new VmListClient(caller, settings.platform().vms()),
                        this);
        mNotices =
                new NoticeWatch(
                        new NoticeClient(caller, settings.platform().cloud()),
                        caller.anyThread(),
                        this::noticed);
    }

    PeerDuty peers() {
        return mPeers;
    }

    private void noticed(final ReclaimNotice notice) {
        mPeers.noticed(new LeavingNotice(Set.of(notice.vm()), notice.goneBy()));
    }

    @Override
    public void endpoints(final List<Endpoint> endpoints) {
        mPeers.described(endpoints);
    }

    @Override
    public void load(final LoadReport report) {
        loadReported(report);
        mPeers.polled(report);
    }

    @Override
    public void listed(final VmListing listing) {
        mPeers.listed(listing);
    }

    @Override
    public boolean polls(final EndpointId endpoint) {
        return mPeers.polls(endpoint);
    }

    @Override
    public boolean endpointsChanged(final List<Endpoint> endpoints) {
        mLimits.endpointsChanged(endpoints);
        final boolean taken =
                mLoop.offer(new DecisionEvent.Task(() -> mRouter.endpointsChanged(endpoints)));
        if (taken) {
            mStanding.endpointsKnown(endpoints);
        }
        return taken;
    }

    @Override
    public boolean endpointLeaving(final EndpointId endpoint, final Instant goneBy) {
        return mLoop.offer(new DecisionEvent.Task(() -> mRouter.endpointLeaving(endpoint)))
                && mLoop.offer(new DecisionEvent.EndpointLeaving(endpoint, goneBy));
    }

    @Override
    public void addressesChanged(final List<EntryAddress> addresses) {
        mStanding.addressesListed(addresses);
    }

    /**
     * Guards against a daemon that takes new requests until its VM disappears, which cuts every
     * answer in progress without a ticket: a notice of its own VM is a stop with an end.
     */
    @Override
    public boolean ownVmLeaving(final Instant goneBy) {
        LOGGER.atInfo().addKeyValue("goneBy", goneBy).log("the own VM is taken back");
        mStanding.beginStop();
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
        mWatch.close();
        mPeers.close();
    }
}
