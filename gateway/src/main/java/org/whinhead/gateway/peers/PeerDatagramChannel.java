package org.whinhead.gateway.peers;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.crash.CrashNews;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.CapacityOrderRecord;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.EndpointNews;
import org.whinhead.gateway.generated.GatewayProto.EndpointRejectionRecord;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.gateway.http.ListeningPort;
import org.whinhead.gateway.stream.StreamDirectory;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.duty.UsageDecision;
import org.whinhead.serving.endpoint.EndpointChange;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.quota.ShareTable;
import org.whinhead.serving.ratelimit.LimitStatement;
import org.whinhead.serving.rollout.RolloutEvidence;
import org.whinhead.serving.rollout.RolloutStep;

/**
 * Exchanges datagrams with the other daemons: periodic reports, store digests, endpoint changes,
 * rollout messages, capacity orders and token messages.
 *
 * <p>Reports contain totals, so that the next one makes up for a lost one. Their interval grows
 * with the number of daemons, so that each receives about the same number a second in any
 * deployment.
 */
public final class PeerDatagramChannel {

    private static final Logger LOG = LoggerFactory.getLogger(PeerDatagramChannel.class);

    /** Interval between sends, each to a part of the receivers, so that no link is saturated. */
    private static final int SEND_INTERVAL_MILLIS = 200;

    /** The report intervals after which what a daemon reported of its requests no longer counts. */
    private static final int COUNTED_INTERVALS = 3;

    /**
     * Pause per receiver between datagrams to all: the time of 1,200 bytes on a link of 10 Mbit/s.
     * Without it, the link drops the second and later ones.
     */
    private static final long BROADCAST_PAUSE_MICROS_PER_RECEIVER = 1_000;

    /** The longest datagram that UDP can carry; Netty cuts off what is longer than the buffer. */
    private static final int MAX_DATAGRAM_BYTES = 65_507;

    /** Maximum number of addresses in a report; a new daemon learns all within a few reports. */
    private static final int CONTACTS_PER_REPORT = 12;

    /** The daemons that are told of usage decisions: those that would hold the lease next. */
    private static final int TOLD_SUCCESSORS = 8;

    /** One round of reports in so many contains addresses, which only new daemons need. */
    private static final int REPORTS_PER_CONTACT_LIST = 5;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final DigestReadCoordinator mReadCoordinator;
    private final CrashMessenger mCrashMessenger;
    private final DepartureMessenger mDepartureMessenger;
    private final LimitMessenger mLimitMessenger;
    private final SpeedMessenger mSpeedMessenger;
    private final StreamMessenger mStreamMessenger;
    private final UsageDecisionMessenger mUsageMessenger;
    private final PeerReportHandler mReportHandler;
    private final PeerReceivers mReceivers;
    private final DatagramTraffic mTraffic = new DatagramTraffic();
    private Consumer<List<EndpointChange>> mOnEndpointChanges = changes -> {};
    private Consumer<CapacityOrder> mOnCapacityOrder = order -> {};
    private RolloutMessageListener mRolloutListener = new UnexpectedRolloutListener();
    private BiConsumer<Datagram, InetSocketAddress> mOnTokenDatagram = (datagram, sender) -> {};
    private BiConsumer<Datagram, InetSocketAddress> mOnPermitDatagram = (datagram, sender) -> {};
    private ListeningPort mPort;
    private long mReportRounds;
    private boolean mLeaving;

    /**
     * Creates a channel that is not started.
     *
     * @param loop the event loop
     * @param state the content of reports
     * @param members the known daemons
     * @param readCoordinator creates and receives store digests
     */
    public PeerDatagramChannel(
            final EventLoop loop,
            final ServingState state,
            final MemberTable members,
            final DigestReadCoordinator readCoordinator) {
        mLoop = loop;
        mState = state;
        mMembers = members;
        mReadCoordinator = readCoordinator;
        mReceivers = new PeerReceivers(members);
        mCrashMessenger = new CrashMessenger(loop, state, this::sendToAll, this::send);
        mDepartureMessenger = new DepartureMessenger(loop, state, this::sendToAll);
        mLimitMessenger = new LimitMessenger(loop, state, this::sendToAll);
        mSpeedMessenger = new SpeedMessenger(loop, state, members, this::sendToAll);
        mStreamMessenger =
                new StreamMessenger(
                        loop,
                        state,
                        members,
                        new StreamMessenger.Transport(mReceivers::all, this::send));
        mUsageMessenger =
                new UsageDecisionMessenger(datagram -> send(datagram, successorAddresses()));
        mReportHandler =
                new PeerReportHandler(
                        state,
                        members,
                        mCrashMessenger,
                        mDepartureMessenger,
                        mLimitMessenger,
                        mSpeedMessenger,
                        mReceivers::addContact);
    }

    /** Opens the channel and starts to send reports. */
    public void start() {
        mPort =
                new ListeningPort(
                        mLoop,
                        new Bootstrap()
                                .channel(NioDatagramChannel.class)
                                .option(
                                        ChannelOption.RCVBUF_ALLOCATOR,
                                        new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                                .handler(new DatagramHandler()),
                        mMembers.self().peerAddress());
        tick();
    }

    /**
     * Adds an address where a daemon may listen.
     *
     * @param contact the address; ignored if it is this daemon's own
     */
    public void addContact(final InetSocketAddress contact) {
        mReceivers.addContact(contact);
    }

    /**
     * Sets the port on which this daemon relays connections to endpoints.
     *
     * @param relayPort the port; 0 as long as it relays none
     */
    public void setRelayPort(final int relayPort) {
        mReportHandler.setRelayPort(relayPort);
    }

    /** Informs all other daemons at once that this daemon is about to stop. */
    public void announceLeaving() {
        mLeaving = true;
        reportToAll();
    }

    /** Sends a report to all other daemons at once, as they must not wait for the next one. */
    public void reportToAll() {
        sendToAll(Datagram.newBuilder().setReport(createReport()).build());
    }

    private void tick() {
        GuardedTask.run(LOG, "report to peers", this::updateAndReport);
        mLoop.schedule(this::tick, SEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void updateAndReport() {
        final Instant now = now();
        mMembers.expire(now);
        for (final String daemon : mMembers.silentMemberNames(now)) {
            mState.chooser().forgetPeer(daemon);
            mState.admission().forgetDaemon(daemon);
        }
        mState.admission().expire(mMembers.reportInterval().multipliedBy(COUNTED_INTERVALS), now);
        mState.usageClock().syncWithPeers();
        mState.retryBudget().setDaemonCount(mMembers.knownCount(), expectedDaemons());
        mState.brittle()
                .setDaemons(
                        Math.max(mMembers.knownCount(), expectedDaemons()), mMembers.knownRank());
        mState.connectionLimits().setDaemons(Math.max(mMembers.knownCount(), expectedDaemons()));
        mState.permits()
                .setDaemons(
                        mMembers.heardPeers(false, now).stream().map(Member::peerAddress).toList(),
                        mLeaving,
                        Math.max(mMembers.knownCount(), expectedDaemons()),
                        now);
        mState.suspects().setRank(mMembers.knownRank());
        mStreamMessenger.expire();
        sendToNextReceivers();
    }

    /**
     * Returns where streams began, at this daemon and at others.
     *
     * @return the directory
     */
    public StreamDirectory streams() {
        return mStreamMessenger;
    }

    /**
     * Returns the datagrams sent and received since the start.
     *
     * @return the counts
     */
    public DatagramTraffic traffic() {
        return mTraffic;
    }

    /** Returns the recorded number of daemons of the deployment; 0 if not known. */
    private int expectedDaemons() {
        return mState.quotas().heldShares().table().map(ShareTable::daemons).orElse(0);
    }

    /**
     * Informs the other daemons that a brittle endpoint has rejected a request.
     *
     * @param endpoint the endpoint
     */
    public void sendEndpointRejection(final EndpointEntry endpoint) {
        sendToAll(
                Datagram.newBuilder()
                        .setEndpointRejection(
                                EndpointRejectionRecord.newBuilder().setEndpoint(endpoint.id()))
                        .build());
    }

    /**
     * Sets the handler of endpoints of which other daemons tell that they leave.
     *
     * @param onDepartures receives the starts of the endpoints
     */
    public void onDepartures(final Consumer<List<EndpointStart>> onDepartures) {
        mDepartureMessenger.onDepartures(onDepartures);
    }

    /**
     * Tells all other daemons that an endpoint has said that it leaves.
     *
     * @param departure the start of the endpoint
     */
    public void sendDeparture(final EndpointStart departure) {
        mDepartureMessenger.tell(departure);
    }

    /**
     * Tells the daemons that may hold the lease next of usage decisions.
     *
     * @param decisions the decisions
     */
    public void sendUsageDecisions(final List<UsageDecision> decisions) {
        decisions.forEach(mUsageMessenger::tell);
    }

    private List<InetSocketAddress> successorAddresses() {
        return mMembers.heardPeers(false, now()).stream()
                .sorted(Comparator.comparing(Member::name))
                .limit(TOLD_SUCCESSORS)
                .map(Member::peerAddress)
                .toList();
    }

    /**
     * Sets the handler of usage decisions that the lease holder tells of.
     *
     * @param onDecision receives a decision
     */
    public void onUsageDecision(final Consumer<UsageDecision> onDecision) {
        mUsageMessenger.onDecision(onDecision);
    }

    /**
     * Returns what tells the other daemons of requests under which endpoints crash.
     *
     * @return the messenger
     */
    public CrashNews crashNews() {
        return mCrashMessenger;
    }

    /**
     * Sets the handler of crashes that other daemons have found.
     *
     * @param onPeerCrash receives the endpoint's id
     */
    public void onPeerCrash(final Consumer<String> onPeerCrash) {
        mCrashMessenger.onPeerCrash(onPeerCrash);
    }

    /** Sends a report to the next part of the receivers; all get one within the report interval. */
    private void sendToNextReceivers() {
        final double share = (double) SEND_INTERVAL_MILLIS / mMembers.reportInterval().toMillis();
        final List<InetSocketAddress> receivers = mReceivers.nextPart(share);
        if (!receivers.isEmpty()) {
            mReportRounds++;
            send(Datagram.newBuilder().setReport(createReport()).build(), receivers);
        }
    }

    private void write(final byte[] bytes, final InetSocketAddress receiver) {
        mPort.channel().write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver));
    }

    /**
     * Sets the handler of endpoint changes that another daemon has read.
     *
     * @param onEndpointChanges receives the changes in order
     */
    public void onEndpointChanges(final Consumer<List<EndpointChange>> onEndpointChanges) {
        mOnEndpointChanges = onEndpointChanges;
    }

    /**
     * Sends endpoint changes and then a digest, if this daemon reads for the others.
     *
     * @param changes the changes in order
     */
    public void sendEndpointChanges(final List<EndpointChange> changes) {
        if (!mReadCoordinator.isReader()) {
            return;
        }
        final List<EndpointNews> messages = EndpointChangeCodec.encode(changes);
        final long pauseMicros = BROADCAST_PAUSE_MICROS_PER_RECEIVER * mReceivers.all().size();
        for (int index = 0; index < messages.size(); index++) {
            final Datagram datagram = Datagram.newBuilder().setNews(messages.get(index)).build();
            runAfterMicros(index * pauseMicros, () -> sendToAll(datagram));
        }
        // After all changes: a daemon without them would read the store itself.
        runAfterMicros(Math.max(messages.size() - 1, 0) * pauseMicros, this::sendDigest);
    }

    private void runAfterMicros(final long micros, final Runnable task) {
        if (micros == 0) {
            task.run();
        } else {
            mLoop.schedule(task, micros, TimeUnit.MICROSECONDS);
        }
    }

    /**
     * Sets the handler of other daemons' endpoint orders.
     *
     * @param onCapacityOrder receives an accepted order
     */
    public void onCapacityOrder(final Consumer<CapacityOrder> onCapacityOrder) {
        mOnCapacityOrder = onCapacityOrder;
    }

    /**
     * Sends an endpoint order to all daemons, as any may place the next one.
     *
     * @param order an order that the platform has accepted
     */
    public void sendCapacityOrder(final CapacityOrder order) {
        sendToAll(
                Datagram.newBuilder()
                        .setCapacityOrder(
                                CapacityOrderRecord.newBuilder()
                                        .setService(order.service())
                                        .setDomain(order.domain())
                                        .setReclaimable(order.reclaimable())
                                        .setCount(order.count()))
                        .build());
    }

    private static CapacityOrder decode(final CapacityOrderRecord record) {
        return new CapacityOrder(
                record.getService(),
                record.getDomain(),
                record.getReclaimable(),
                record.getCount());
    }

    /**
     * Sets the listener for rollout messages.
     *
     * @param listener receives the steps and the evidence
     */
    public void onRolloutMessages(final RolloutMessageListener listener) {
        mRolloutListener = listener;
    }

    /**
     * Sends a rollout step to all daemons.
     *
     * @param step the step
     */
    public void sendRolloutStep(final RolloutStep step) {
        sendToAll(Datagram.newBuilder().setRolloutStep(RolloutCodec.encode(step)).build());
    }

    /**
     * Sends this daemon's evidence of a rollout to the lease holder.
     *
     * @param evidence the counts
     * @param holder the address of the lease holder
     */
    public void sendRolloutEvidence(
            final RolloutEvidence evidence, final InetSocketAddress holder) {
        final Datagram datagram =
                Datagram.newBuilder().setRolloutEvidence(RolloutCodec.encode(evidence)).build();
        send(holder, datagram);
    }

    /**
     * Sets the handler of other daemons' share table versions.
     *
     * @param onShareTableVersion receives the version; 0 without a table
     */
    public void onShareTableVersion(final LongConsumer onShareTableVersion) {
        mReportHandler.onShareTableVersion(onShareTableVersion);
    }

    /**
     * Sets the handler of token requests, responses and returns.
     *
     * @param onTokenDatagram receives the datagram and its sender
     */
    public void onTokenDatagram(final BiConsumer<Datagram, InetSocketAddress> onTokenDatagram) {
        mOnTokenDatagram = onTokenDatagram;
    }

    /**
     * Sets the handler of permits for requests to endpoints that name a limit.
     *
     * @param onPermitDatagram receives each datagram and its sender
     */
    public void onPermitDatagram(final BiConsumer<Datagram, InetSocketAddress> onPermitDatagram) {
        mOnPermitDatagram = onPermitDatagram;
    }

    /**
     * Tells all other daemons of an endpoint that names a limit, another one, or none any more.
     *
     * @param statement what the endpoint says
     */
    public void sendLimitStatement(final LimitStatement statement) {
        mLimitMessenger.tell(statement);
    }

    /**
     * Sends a datagram to one daemon.
     *
     * @param receiver the address of that daemon
     * @param datagram the datagram
     */
    public void send(final InetSocketAddress receiver, final Datagram datagram) {
        final byte[] bytes = datagram.toByteArray();
        mTraffic.recordSent(datagram, bytes.length, 1);
        write(bytes, receiver);
        mPort.channel().flush();
    }

    /** Sends a digest of the store to all, if this daemon reads for the others. */
    public void sendDigest() {
        if (mReadCoordinator.isReader()) {
            sendToAll(Datagram.newBuilder().setDigest(mReadCoordinator.createDigest()).build());
        }
    }

    private void sendToAll(final Datagram datagram) {
        send(datagram, mReceivers.all());
    }

    private void send(final Datagram datagram, final Iterable<InetSocketAddress> receivers) {
        final byte[] bytes = datagram.toByteArray();
        int count = 0;
        for (final InetSocketAddress receiver : receivers) {
            write(bytes, receiver);
            count++;
        }
        mTraffic.recordSent(datagram, bytes.length, count);
        mPort.channel().flush();
    }

    private PeerReport createReport() {
        return mReportHandler.createReport(
                mLeaving, mReportRounds % REPORTS_PER_CONTACT_LIST == 0 ? CONTACTS_PER_REPORT : 0);
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /** Logs rollout messages that arrive without a listener. */
    private static final class UnexpectedRolloutListener implements RolloutMessageListener {
        @Override
        public void onStep(final RolloutStep step, final InetSocketAddress holder) {
            LOG.atWarn().addKeyValue("sender", holder).log("unexpected rollout step");
        }

        @Override
        public void onEvidence(final RolloutEvidence evidence) {
            LOG.atWarn()
                    .addKeyValue("daemon", evidence.daemon())
                    .log("unexpected rollout evidence");
        }
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final DatagramPacket packet) {
            try {
                final Datagram datagram = Datagram.parseFrom(packet.content().nioBuffer());
                mTraffic.recordReceived(datagram, packet.content().readableBytes());
                if (datagram.hasReport()) {
                    mReportHandler.applyReport(datagram.getReport());
                }
                if (datagram.hasNews()) {
                    mOnEndpointChanges.accept(
                            EndpointChangeCodec.decode(
                                    datagram.getNews(), mState.endpoints()::find));
                }
                if (datagram.hasDigest()) {
                    mReadCoordinator.receive(
                            Addresses.format(packet.sender()), datagram.getDigest());
                }
                if (datagram.hasEndpointRejection()) {
                    mState.endpoints()
                            .find(datagram.getEndpointRejection().getEndpoint())
                            .ifPresent(
                                    endpoint ->
                                            mState.brittle().recordPeerRejection(endpoint, now()));
                }
                mCrashMessenger.receive(datagram);
                mDepartureMessenger.receive(datagram);
                mLimitMessenger.receive(datagram);
                mSpeedMessenger.receive(datagram);
                mOnPermitDatagram.accept(datagram, packet.sender());
                mStreamMessenger.receive(datagram, packet.sender());
                mUsageMessenger.receive(datagram);
                if (datagram.hasCapacityOrder()) {
                    mOnCapacityOrder.accept(decode(datagram.getCapacityOrder()));
                }
                if (datagram.hasTokenAsk()
                        || datagram.hasTokenAnswer()
                        || datagram.hasTokenReturn()) {
                    mOnTokenDatagram.accept(datagram, packet.sender());
                }
                if (datagram.hasRolloutStep()) {
                    mRolloutListener.onStep(
                            RolloutCodec.decode(datagram.getRolloutStep()), packet.sender());
                }
                if (datagram.hasRolloutEvidence()) {
                    mRolloutListener.onEvidence(RolloutCodec.decode(datagram.getRolloutEvidence()));
                }
            } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
                LOG.atWarn()
                        .addKeyValue("sender", packet.sender())
                        .addKeyValue("cause", e.getMessage())
                        .log("datagram not readable");
            }
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            LOG.atWarn().addKeyValue("cause", cause.toString()).log("peer datagram channel failed");
        }
    }
}
