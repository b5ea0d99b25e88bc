package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.EndpointShare;
import org.whinhead.gateway.generated.GatewayProto.EndpointSpeedNews;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.speed.SpeedReport;

/** Tells the other daemons at once when an endpoint's speed has changed suddenly. */
final class SpeedMessenger {

    private static final Logger LOG = LoggerFactory.getLogger(SpeedMessenger.class);

    /** The time for which changes are collected, and after which they are told again. */
    private static final int REPEAT_MILLIS = 60;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final Consumer<Datagram> mSendToAll;
    private boolean mScheduled;

    SpeedMessenger(
            final EventLoop loop,
            final ServingState state,
            final MemberTable members,
            final Consumer<Datagram> sendToAll) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mState = Objects.requireNonNull(state, "state");
        mMembers = Objects.requireNonNull(members, "members");
        mSendToAll = Objects.requireNonNull(sendToAll, "sendToAll");
        state.chooser().speeds().ifPresent(speeds -> speeds.onChange(this::schedule));
    }

    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            mLoop.schedule(
                    () -> GuardedTask.run(LOG, "tell endpoint speeds", this::send),
                    REPEAT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void send() {
        mScheduled = false;
        final List<SpeedReport> changes =
                mState.chooser().speeds().orElseThrow().changes(mState.clock().instant());
        if (changes.isEmpty()) {
            return;
        }
        final EndpointSpeedNews.Builder news =
                EndpointSpeedNews.newBuilder().setDaemon(mMembers.self().name());
        changes.forEach(change -> news.addShares(EndpointShareCodec.createShare(change)));
        mSendToAll.accept(Datagram.newBuilder().setSpeedNews(news).build());
        schedule();
    }

    /** Applies a datagram if it tells of changes. */
    void receive(final Datagram datagram) {
        if (datagram.hasSpeedNews()) {
            final EndpointSpeedNews news = datagram.getSpeedNews();
            news.getSharesList().forEach(share -> apply(news.getDaemon(), share));
        }
    }

    /** Applies the speed of a share, if it has one and speeds are learnt. */
    void apply(final String daemon, final EndpointShare share) {
        if (share.getSpeedWeight() == 0
                || mState.chooser().speeds().isEmpty()
                || daemon.equals(mMembers.self().name())) {
            return;
        }
        final Instant now = mState.clock().instant();
        mState.endpoints()
                .find(share.getEndpoint())
                .map(endpoint -> EndpointShareCodec.decodeSpeed(share, endpoint.service()))
                .ifPresent(
                        speed ->
                                mState.chooser()
                                        .speeds()
                                        .get()
                                        .applyReport(daemon, speed, speed.age(), now));
    }
}
