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
public final class PeerReports {

    private static final Logger LOG = LoggerFactory.getLogger(PeerReports.class);

    /**
     * The pace of sending: each time a part of the others is sent to, so that no link is filled.
     */
    private static final int TICK_MILLIS = 200;

    /**
     * The pause for each receiver between two datagrams that all of them get: what one of 1,200
     * bytes takes on a link of 10 Mbit/s. Sent at once, the second and later ones were lost.
     */
    private static final long NEWS_MICROS_PER_RECEIVER = 1_000;

    /** Known addresses that a report passes on; a newcomer learns all within a few reports. */
    private static final int CONTACTS = 12;

    /** One report in so many passes addresses on: they are needed by newcomers only. */
    private static final int REPORTS_PER_CONTACTS = 5;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final StoreDigests mDigests;
    private final ReportContent mContent;
    private final Set<InetSocketAddress> mContacts = new HashSet<>();
    private Consumer<List<EndpointChange>> mOnEndpointNews = changes -> {};
    private Consumer<CapacityOrder> mOnOrder = order -> {};
    private RolloutNews mRolloutNews = new NoRolloutNews();
    private BiConsumer<Datagram, InetSocketAddress> mOnTokens = (datagram, sender) -> {};
    private long mReceiversAsOf = -1;
    private List<InetSocketAddress> mReceiversInOrder = List.of();
    private Channel mChannel;
    private int mNextReceiver;
    private long mReports;
    private boolean mLeaving;

    /**
     * Makes a reporter that sends nothing yet.
     *
     * @param loop where everything runs
     * @param state what is reported, and what reports change
     * @param members the daemons
     * @param digests what was read of the store
     */
    public PeerReports(
            final EventLoop loop,
            final ServingState state,
            final MemberTable members,
            final StoreDigests digests) {
        mLoop = loop;
        mState = state;
        mMembers = members;
        mDigests = digests;
        mContent = new ReportContent(state, members, this::addContact);
    }

    /** Starts to send and receive. */
    public void start() {
        mChannel =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Receiver())
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
    public void leave() {
        mLeaving = true;
        sendToAll(Datagram.newBuilder().setReport(report()).build());
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
        sendToNext();
        mLoop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends to the next part of the others; all get a report within the interval. */
    private void sendToNext() {
        final List<InetSocketAddress> receivers = receiversInOrder();
        if (receivers.isEmpty()) {
            return;
        }
        final double part = (double) TICK_MILLIS / mMembers.reportInterval().toMillis();
        final int count = (int) Math.min(Math.ceil(receivers.size() * part), receivers.size());
        mReports++;
        final byte[] bytes = Datagram.newBuilder().setReport(report()).build().toByteArray();
        for (int index = 0; index < count; index++) {
            mNextReceiver = (mNextReceiver + 1) % receivers.size();
            write(bytes, receivers.get(mNextReceiver));
        }
        mChannel.flush();
    }

    /** Orders the others, once for each set of them: sorting spells every address many times. */
    private List<InetSocketAddress> receiversInOrder() {
        final long changes = mMembers.addressChangeCount() + mContacts.size();
        if (changes != mReceiversAsOf) {
            mReceiversAsOf = changes;
            final Set<InetSocketAddress> receivers = new HashSet<>(mContacts);
            mMembers.peers().forEach(peer -> receivers.add(peer.peerAddress()));
            mReceiversInOrder =
                    receivers.stream().sorted(Comparator.comparing(Addresses::format)).toList();
        }
        return mReceiversInOrder;
    }

    private void write(final byte[] bytes, final InetSocketAddress receiver) {
        mChannel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver));
    }

    /**
     * Sets what is done with endpoints that another daemon has read.
     *
     * @param onNews takes the changes in order
     */
    public void onEndpointNews(final Consumer<List<EndpointChange>> onNews) {
        mOnEndpointNews = onNews;
    }

    /**
     * Passes on what was read of the endpoints, if this daemon reads for the others.
     *
     * @param changes what has changed
     */
    public void sendEndpoints(final List<EndpointChange> changes) {
        if (!mDigests.isReader()) {
            return;
        }
        final List<EndpointNews> all = EndpointChanges.encode(changes);
        final long pauseMicros = NEWS_MICROS_PER_RECEIVER * receiversInOrder().size();
        for (int index = 0; index < all.size(); index++) {
            final Datagram datagram = Datagram.newBuilder().setNews(all.get(index)).build();
            afterMicros(index * pauseMicros, () -> sendToAll(datagram));
        }
        // Behind all news: a daemon that has not heard them would read the store itself.
        afterMicros(Math.max(all.size() - 1, 0) * pauseMicros, this::sendDigest);
    }

    private void afterMicros(final long micros, final Runnable send) {
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
    public void onOrder(final Consumer<CapacityOrder> onOrder) {
        mOnOrder = onOrder;
    }

    /**
     * Tells all daemons of an order of endpoints, as any of them may be the next to order.
     *
     * @param order an order that the platform has taken
     */
    public void sendOrder(final CapacityOrder order) {
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
    public void onRolloutNews(final RolloutNews news) {
        mRolloutNews = news;
    }

    /**
     * Tells all daemons of a step.
     *
     * @param step the step
     */
    public void sendStep(final RolloutStep step) {
        sendToAll(Datagram.newBuilder().setRolloutStep(RolloutMessages.encode(step)).build());
    }

    /**
     * Tells the holder of the duties what this daemon has seen.
     *
     * @param evidence its counts
     * @param holder where the holder listens
     */
    public void sendEvidence(final RolloutEvidence evidence, final InetSocketAddress holder) {
        final Datagram datagram =
                Datagram.newBuilder().setRolloutEvidence(RolloutMessages.encode(evidence)).build();
        send(holder, datagram);
    }

    /**
     * Sets what is done with the version of the table of shares that another daemon goes by.
     *
     * @param onShareTable takes the version
     */
    public void onShareTable(final LongConsumer onShareTable) {
        mContent.onShareTable(onShareTable);
    }

    /**
     * Sets what is done with asks for tokens, their answers, and what is given back.
     *
     * @param onTokens takes a datagram that holds one of these, and its sender
     */
    public void onTokens(final BiConsumer<Datagram, InetSocketAddress> onTokens) {
        mOnTokens = onTokens;
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
            sendToAll(Datagram.newBuilder().setDigest(mDigests.digest()).build());
        }
    }

    private void sendToAll(final Datagram datagram) {
        final byte[] bytes = datagram.toByteArray();
        receiversInOrder().forEach(receiver -> write(bytes, receiver));
        mChannel.flush();
    }

    private PeerReport report() {
        return mContent.report(mLeaving, mReports % REPORTS_PER_CONTACTS == 0 ? CONTACTS : 0);
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /** Where no roll-outs are in force, nobody sends news of them. */
    private static final class NoRolloutNews implements RolloutNews {
        @Override
        public void step(final RolloutStep step, final InetSocketAddress holder) {
            LOG.atWarn().addKeyValue("sender", holder).log("step of a roll-out not expected");
        }

        @Override
        public void evidence(final RolloutEvidence evidence) {
            LOG.atWarn()
                    .addKeyValue("daemon", evidence.daemon())
                    .log("evidence of a roll-out not expected");
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final DatagramPacket packet) {
            try {
                final Datagram datagram = Datagram.parseFrom(packet.content().nioBuffer());
                if (datagram.hasReport()) {
                    mContent.take(datagram.getReport());
                }
                if (datagram.hasNews()) {
                    mOnEndpointNews.accept(
                            EndpointChanges.decode(datagram.getNews(), mState.endpoints()::find));
                }
                if (datagram.hasDigest()) {
                    mDigests.take(Addresses.format(packet.sender()), datagram.getDigest());
                }
                if (datagram.hasCapacityOrder()) {
                    mOnOrder.accept(decode(datagram.getCapacityOrder()));
                }
                if (datagram.hasTokenAsk()
                        || datagram.hasTokenAnswer()
                        || datagram.hasTokenReturn()) {
                    mOnTokens.accept(datagram, packet.sender());
                }
                if (datagram.hasRolloutStep()) {
                    mRolloutNews.step(
                            RolloutMessages.decode(datagram.getRolloutStep()), packet.sender());
                }
                if (datagram.hasRolloutEvidence()) {
                    mRolloutNews.evidence(RolloutMessages.decode(datagram.getRolloutEvidence()));
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
