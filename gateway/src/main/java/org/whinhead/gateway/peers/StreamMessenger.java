package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.StreamReplyRecord;
import org.whinhead.gateway.stream.StreamDirectory;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.stream.CopyBudget;
import org.whinhead.serving.stream.StreamHolders;
import org.whinhead.serving.stream.StreamKey;
import org.whinhead.serving.stream.StreamLookup;
import org.whinhead.serving.stream.StreamRecord;

/**
 * Tells a few daemons where each stream of this one began, and asks them for streams of others.
 *
 * <p>A daemon that is killed tells nothing any more, so the others hear of a stream before its
 * caller receives the first event.
 */
final class StreamMessenger implements StreamDirectory {

    /** The time for a reply; daemons that were killed a moment ago are asked as well. */
    private static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(250);

    /** The time after which daemons that have not replied are asked once more. */
    private static final Duration REPEAT_AFTER = Duration.ofMillis(80);

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final Transport mTransport;
    private final Map<StreamKey, Search> mSearches = new HashMap<>();
    private final CopyBudget mCopies = new CopyBudget();

    /**
     * Creates a messenger.
     *
     * @param loop the event loop
     * @param state what is known of streams
     * @param members the known daemons
     * @param transport sends the messages
     */
    StreamMessenger(
            final EventLoop loop,
            final ServingState state,
            final MemberTable members,
            final Transport transport) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mState = Objects.requireNonNull(state, "state");
        mMembers = Objects.requireNonNull(members, "members");
        mTransport = Objects.requireNonNull(transport, "transport");
    }

    /**
     * Sends datagrams.
     *
     * @param contacts the addresses where daemons may listen, also ones that have not reported
     * @param sender sends a datagram to some daemons
     */
    record Transport(Supplier<List<InetSocketAddress>> contacts, Sender sender) {}

    /** Sends a datagram. */
    interface Sender {

        /** Sends a datagram to some daemons. */
        void send(Datagram datagram, Iterable<InetSocketAddress> receivers);
    }

    private Instant now() {
        return mState.clock().instant();
    }

    @Override
    public void add(final StreamRecord stream) {
        mState.streams().add(stream, now());
        final List<InetSocketAddress> receivers =
                StreamHolders.toTell(
                                stream.key(),
                                mMembers.heardPeers(false, now()),
                                mCopies.countStream(now()))
                        .stream()
                        .map(Member::peerAddress)
                        .toList();
        if (!receivers.isEmpty()) {
            mTransport.sender().send(StreamCodec.encodeBegun(stream), receivers);
        }
    }

    @Override
    public Runnable find(final StreamKey key, final Consumer<StreamLookup> listener) {
        final StreamLookup own = mState.streams().lookup(key, now());
        if (own.knowledge() != StreamLookup.Knowledge.NONE) {
            listener.accept(own);
            return () -> {};
        }
        final Set<InetSocketAddress> asked = daemonsToAsk(key);
        if (asked.isEmpty()) {
            listener.accept(StreamLookup.UNKNOWN);
            return () -> {};
        }
        final Search search = mSearches.computeIfAbsent(key, added -> new Search(added, asked));
        search.mListeners.add(listener);
        return () -> search.mListeners.remove(listener);
    }

    /**
     * Returns the daemons that are likely to know a stream. A daemon that was just started has no
     * reports yet and asks the addresses that it has read.
     */
    private Set<InetSocketAddress> daemonsToAsk(final StreamKey key) {
        final Set<InetSocketAddress> asked = new LinkedHashSet<>();
        for (final Member holder : StreamHolders.toAsk(key, mMembers.heardPeers(true, now()))) {
            asked.add(holder.peerAddress());
        }
        mTransport.contacts().get().stream()
                .filter(contact -> asked.size() < StreamHolders.ASKED)
                .forEach(asked::add);
        return asked;
    }

    /** Applies a datagram if it is one of these messages. */
    void receive(final Datagram datagram, final InetSocketAddress sender) {
        if (datagram.hasStreamBegun()) {
            mState.streams().add(StreamCodec.decode(datagram.getStreamBegun()), now());
        }
        if (datagram.hasStreamQuery()) {
            final StreamKey key = StreamCodec.decode(datagram.getStreamQuery());
            final Datagram reply =
                    StreamCodec.encodeReply(
                            key,
                            mState.streams().lookup(key, now()),
                            mState.streams().keptFor(key, now()));
            mTransport.sender().send(reply, List.of(sender));
        }
        if (datagram.hasStreamReply()) {
            receiveReply(datagram.getStreamReply(), sender);
        }
    }

    private void receiveReply(final StreamReplyRecord reply, final InetSocketAddress sender) {
        final Search search = mSearches.get(StreamCodec.decode(reply.getKey()));
        if (search == null) {
            return;
        }
        StreamCodec.decode(reply).ifPresent(stream -> mState.streams().add(stream, now()));
        final StreamLookup own = mState.streams().lookup(search.mKey, now());
        search.mUnanswered.remove(sender);
        if (reply.getAmbiguous()) {
            search.finish(StreamLookup.AMBIGUOUS);
        } else if (own.knowledge() != StreamLookup.Knowledge.NONE || search.mUnanswered.isEmpty()) {
            search.finish(own);
        }
    }

    /** Forgets streams that can't be resumed any more; to be called regularly. */
    void expire() {
        mState.streams().expire(now());
    }

    /** The search for one stream, for all requests that resume it at this daemon. */
    private final class Search {
        private final StreamKey mKey;
        private final Set<InetSocketAddress> mUnanswered;
        private final List<Consumer<StreamLookup>> mListeners = new ArrayList<>();
        private final List<Future<?>> mTimers = new ArrayList<>();

        private Search(final StreamKey key, final Set<InetSocketAddress> asked) {
            mKey = key;
            mUnanswered = asked;
            ask();
            mTimers.add(mLoop.schedule(this::ask, REPEAT_AFTER.toMillis(), TimeUnit.MILLISECONDS));
            mTimers.add(
                    mLoop.schedule(
                            () -> finish(StreamLookup.UNKNOWN),
                            LOOKUP_TIMEOUT.toMillis(),
                            TimeUnit.MILLISECONDS));
        }

        private void ask() {
            mTransport.sender().send(StreamCodec.encodeQuery(mKey), List.copyOf(mUnanswered));
        }

        private void finish(final StreamLookup lookup) {
            mSearches.remove(mKey, this);
            mTimers.forEach(timer -> timer.cancel(false));
            List.copyOf(mListeners).forEach(listener -> listener.accept(lookup));
        }
    }
}
