package org.whinhead.gateway.peers;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.CapacityOrderRecord;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.EndpointNews;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.endpoint.EndpointChange;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.quota.ShareTable;
import org.whinhead.serving.rollout.RolloutEvidence;
import org.whinhead.serving.rollout.RolloutStep;

/**
 * Sends this daemon's report to all others, and takes theirs.
 *
 * <p>Reports are datagrams with totals, not changes: one that is lost is made up for by the next.
 * The interval grows with the number of daemons, so that each receives about as many reports a
 * second whatever the size of the deployment.
 */
public final class PeerDatagramChannel {

    private static final Logger LOG = LoggerFactory.getLogger(PeerDatagramChannel.class);

    /**
     * The pace of sending: each time a part of the others is sent to, so that no link is filled.
     */
    private static final int SEND_INTERVAL_MILLIS = 200;

    /**
     * The pause for each receiver between two datagrams that all of them get: what one of 1,200
     * bytes takes on a link of 10 Mbit/s. Sent at once, the second and later ones were lost.
     */
    private static final long BROADCAST_PAUSE_MICROS_PER_RECEIVER = 1_000;

    /** Known addresses that a report passes on; a newcomer learns all within a few reports. */
    private static final int CONTACTS_PER_REPORT = 12;

    /** One report in so many passes addresses on: they are needed by newcomers only. */
    private static final int REPORTS_PER_CONTACT_LIST = 5;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final DigestReadCoordinator mDigests;
    private final PeerReportHandler mReportHandler;
    private final Set<InetSocketAddress> mContacts = new HashSet<>();
    private Consumer<List<EndpointChange>> mOnEndpointChanges = changes -> {};
    private Consumer<CapacityOrder> mOnCapacityOrder = order -> {};
    private RolloutMessageListener mRolloutListener = new UnexpectedRolloutListener();
    private BiConsumer<Datagram, InetSocketAddress> mOnTokenDatagram = (datagram, sender) -> {};
    private long mReceiversVersion = -1;
    private List<InetSocketAddress> mSortedReceivers = List.of();
    private Channel mChannel;
    private int mReceiverIndex;
    private long mReportRounds;
    private boolean mLeaving;

    /**
     * Makes a reporter that sends nothing yet.
     *
     * @param loop where everything runs
     * @param state what is reported, and what reports change
     * @param members the daemons
     * @param digests what was read of the store
     */
    public PeerDatagramChannel(
            final EventLoop loop,
            final ServingState state,
            final MemberTable members,
            final DigestReadCoordinator digests) {
        mLoop = loop;
        mState = state;
        mMembers = members;
        mDigests = digests;
        mReportHandler = new PeerReportHandler(state, members, this::addContact);
    }

    /** Starts to send and receive. */
    public void start() {
        mChannel =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioDatagramChannel.class)
                        .handler(new DatagramHandler())
                        .bind(mMembers.self().peerAddress())
                        .channel();
        tick();
    }

    /**
     * Adds an address at which a daemon may be.
     *
     * @param contact the address
     */
    public void addContact(final InetSocketAddress contact) {
        if (!contact.equals(mMembers.self().peerAddress())) {
            mContacts.add(contact);
        }
    }

    /** Tells the others at once that this daemon is about to stop. */
    public void announceLeaving() {
        mLeaving = true;
        sendToAll(Datagram.newBuilder().setReport(createReport()).build());
    }

    private void tick() {
        final Instant now = now();
        mMembers.expire(now);
        mMembers.silentMemberNames(now).forEach(mState.chooser()::forgetPeer);
        mState.usageClock().syncWithPeers();
        mState.retryBudget()
                .setDaemonCount(
                        mMembers.knownCount(),
                        mState.quotas().heldShares().table().map(ShareTable::daemons).orElse(0));
        sendToNextReceivers();
        mLoop.schedule(this::tick, SEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends to the next part of the others; all get a report within the interval. */
    private void sendToNextReceivers() {
        final List<InetSocketAddress> receivers = sortedReceivers();
        if (receivers.isEmpty()) {
            return;
        }
        final double part = (double) SEND_INTERVAL_MILLIS / mMembers.reportInterval().toMillis();
        final int count = (int) Math.min(Math.ceil(receivers.size() * part), receivers.size());
        mReportRounds++;
        final byte[] bytes = Datagram.newBuilder().setReport(createReport()).build().toByteArray();
        for (int index = 0; index < count; index++) {
            mReceiverIndex = (mReceiverIndex + 1) % receivers.size();
            write(bytes, receivers.get(mReceiverIndex));
        }
        mChannel.flush();
    }

    /** Orders the others, once for each set of them: sorting spells every address many times. */
    private List<InetSocketAddress> sortedReceivers() {
        final long changes = mMembers.addressChangeCount() + mContacts.size();
        if (changes != mReceiversVersion) {
            mReceiversVersion = changes;
            final Set<InetSocketAddress> receivers = new HashSet<>(mContacts);
            mMembers.peers().forEach(peer -> receivers.add(peer.peerAddress()));
            mSortedReceivers =
                    receivers.stream().sorted(Comparator.comparing(Addresses::format)).toList();
        }
        return mSortedReceivers;
    }

    private void write(final byte[] bytes, final InetSocketAddress receiver) {
        mChannel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver));
    }

    /**
     * Sets what is done with endpoints that another daemon has read.
     *
     * @param onNews takes the changes in order
     */
    public void onEndpointChanges(final Consumer<List<EndpointChange>> onNews) {
        mOnEndpointChanges = onNews;
    }

    /**
     * Passes on what was read of the endpoints, if this daemon reads for the others.
     *
     * @param changes what has changed
     */
    public void sendEndpointChanges(final List<EndpointChange> changes) {
        if (!mDigests.isReader()) {
            return;
        }
        final List<EndpointNews> all = EndpointChangeCodec.encode(changes);
        final long pauseMicros = BROADCAST_PAUSE_MICROS_PER_RECEIVER * sortedReceivers().size();
        for (int index = 0; index < all.size(); index++) {
            final Datagram datagram = Datagram.newBuilder().setNews(all.get(index)).build();
            runAfterMicros(index * pauseMicros, () -> sendToAll(datagram));
        }
        // Behind all news: a daemon that has not heard them would read the store itself.
        runAfterMicros(Math.max(all.size() - 1, 0) * pauseMicros, this::sendDigest);
    }

    private void runAfterMicros(final long micros, final Runnable send) {
        if (micros == 0) {
            send.run();
        } else {
            mLoop.schedule(send, micros, TimeUnit.MICROSECONDS);
        }
    }

    /**
     * Sets what is done with orders of endpoints by another daemon.
     *
     * @param onOrder takes an order that the platform has taken
     */
    public void onCapacityOrder(final Consumer<CapacityOrder> onOrder) {
        mOnCapacityOrder = onOrder;
    }

    /**
     * Tells all daemons of an order of endpoints, as any of them may be the next to order.
     *
     * @param order an order that the platform has taken
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
     * Sets what is done with news of roll-outs.
     *
     * @param news takes them
     */
    public void onRolloutMessages(final RolloutMessageListener news) {
        mRolloutListener = news;
    }

    /**
     * Tells all daemons of a step.
     *
     * @param step the step
     */
    public void sendRolloutStep(final RolloutStep step) {
        sendToAll(Datagram.newBuilder().setRolloutStep(RolloutCodec.encode(step)).build());
    }

    /**
     * Tells the holder of the duties what this daemon has seen.
     *
     * @param evidence its counts
     * @param holder where the holder listens
     */
    public void sendRolloutEvidence(
            final RolloutEvidence evidence, final InetSocketAddress holder) {
        final Datagram datagram =
                Datagram.newBuilder().setRolloutEvidence(RolloutCodec.encode(evidence)).build();
        send(holder, datagram);
    }

    /**
     * Sets what is done with the version of the table of shares that another daemon goes by.
     *
     * @param onShareTable takes the version
     */
    public void onShareTableVersion(final LongConsumer onShareTable) {
        mReportHandler.onShareTableVersion(onShareTable);
    }

    /**
     * Sets what is done with asks for tokens, their answers, and what is given back.
     *
     * @param onTokens takes a datagram that holds one of these, and its sender
     */
    public void onTokenDatagram(final BiConsumer<Datagram, InetSocketAddress> onTokens) {
        mOnTokenDatagram = onTokens;
    }

    /**
     * Sends a datagram to one daemon.
     *
     * @param receiver where it listens
     * @param datagram the datagram
     */
    public void send(final InetSocketAddress receiver, final Datagram datagram) {
        write(datagram.toByteArray(), receiver);
        mChannel.flush();
    }

    /** Tells the others what was read of the store, if this daemon reads for them. */
    public void sendDigest() {
        if (mDigests.isReader()) {
            sendToAll(Datagram.newBuilder().setDigest(mDigests.createDigest()).build());
        }
    }

    private void sendToAll(final Datagram datagram) {
        final byte[] bytes = datagram.toByteArray();
        sortedReceivers().forEach(receiver -> write(bytes, receiver));
        mChannel.flush();
    }

    private PeerReport createReport() {
        return mReportHandler.createReport(
                mLeaving, mReportRounds % REPORTS_PER_CONTACT_LIST == 0 ? CONTACTS_PER_REPORT : 0);
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /** Where no roll-outs are in force, nobody sends news of them. */
    private static final class UnexpectedRolloutListener implements RolloutMessageListener {
        @Override
        public void onStep(final RolloutStep step, final InetSocketAddress holder) {
            LOG.atWarn().addKeyValue("sender", holder).log("step of a roll-out not expected");
        }

        @Override
        public void onEvidence(final RolloutEvidence evidence) {
            LOG.atWarn()
                    .addKeyValue("daemon", evidence.daemon())
                    .log("evidence of a roll-out not expected");
        }
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final DatagramPacket packet) {
            try {
                final Datagram datagram = Datagram.parseFrom(packet.content().nioBuffer());
                if (datagram.hasReport()) {
                    mReportHandler.applyReport(datagram.getReport());
                }
                if (datagram.hasNews()) {
                    mOnEndpointChanges.accept(
                            EndpointChangeCodec.decode(
                                    datagram.getNews(), mState.endpoints()::find));
                }
                if (datagram.hasDigest()) {
                    mDigests.receive(Addresses.format(packet.sender()), datagram.getDigest());
                }
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
                        .log("report not understood");
            }
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            LOG.atWarn().addKeyValue("cause", cause.toString()).log("report channel failed");
        }
    }
}
