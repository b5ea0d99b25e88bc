package org.whinhead.peer;

import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.whinhead.api.model.VmId;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** All connections of one transport; its methods run on the event loop. */
final class ConnectionTable implements PeerConnection.ConnectionListener {

    private final PeerSettings mSettings;
    private final InstantSource mClock;
    private final PendingReplies mReplies;
    private final LinkTable mLinks;
    private final BiConsumer<VmId, Envelope> mReplySender;
    private final PeerListener mListener;
    private final Map<VmId, PeerConnection> mNewest = new HashMap<>();
    private final Map<VmId, PeerConnection> mAccepted = new HashMap<>();
    private final Set<PeerConnection> mAll = new HashSet<>();
    private final Set<PeerConnection> mUnauthenticated = new HashSet<>();

    ConnectionTable(
            final PeerSettings settings,
            final InstantSource clock,
            final PendingReplies replies,
            final LinkTable links,
            final BiConsumer<VmId, Envelope> replySender,
            final PeerListener listener) {
        mSettings = settings;
        mClock = clock;
        mReplies = replies;
        mLinks = links;
        mReplySender = replySender;
        mListener = listener;
    }

    /** Returns the connection to a VM, whoever made it. */
    Optional<PeerConnection> find(final VmId vm) {
        return Optional.ofNullable(mNewest.get(vm));
    }

    /**
     * A connection was made. Guards against strangers that open connections and say nothing: each
     * costs memory, so only so many wait for their proof, and only for so long.
     */
    @Override
    public void started(final PeerConnection connection) {
        mAll.add(connection);
        if (connection.isDialed()) {
            return;
        }
        if (mUnauthenticated.size() >= mSettings.mostUnauthenticated()) {
            connection.refuse(PeerRefusal.TOO_MANY, mUnauthenticated.size() + " wait already");
            return;
        }
        mUnauthenticated.add(connection);
        connection.refuseUnlessIdentifiedWithin(mSettings.handshakeTimeout());
    }

    /**
     * The peer has proved who it is. A VM keeps one connection that it made itself, so that one
     * that reconnects in a loop cannot fill the table.
     */
    @Override
    public void opened(final PeerConnection connection) {
        mUnauthenticated.remove(connection);
        mNewest.put(connection.peer(), connection);
        if (!connection.isDialed()) {
            final PeerConnection before = mAccepted.put(connection.peer(), connection);
            if (before != null) {
                before.close();
            }
        }
        writable(connection);
    }

    @Override
    public void received(final PeerConnection connection, final Envelope envelope) {
        final VmId from = connection.peer();
        mLinks.find(from).ifPresent(PeerLink::resetBackoff);
        if (MessageClass.of(envelope) == MessageClass.REPLY) {
            mReplies.complete(from, envelope);
            return;
        }
        final long correlation = envelope.getCorrelation();
        mListener.received(
                new IncomingMessage(
                        from,
                        connection.peerDaemon(),
                        envelope,
                        reply ->
                                mReplySender.accept(
                                        from,
                                        reply.toBuilder().setCorrelation(correlation).build())));
    }

    @Override
    public void writable(final PeerConnection connection) {
        mLinks.find(connection.peer()).ifPresent(link -> link.flush(connection));
    }

    @Override
    public void closed(final PeerConnection connection) {
        mAll.remove(connection);
        mUnauthenticated.remove(connection);
        final VmId peer = connection.peer();
        if (peer == null) {
            return;
        }
        mAccepted.remove(peer, connection);
        if (mNewest.remove(peer, connection)) {
            mAll.stream()
                    .filter(other -> peer.equals(other.peer()))
                    .findFirst()
                    .ifPresentOrElse(
                            other -> mNewest.put(peer, other),
                            () -> mLinks.find(peer).ifPresent(link -> mLinks.dropReplies(link)));
        }
    }

    /**
     * Guards against a peer whose certificate ran out, or was not renewed on purpose: a connection
     * that stays open would never be checked again.
     */
    void closeExpired() {
        final Instant now = mClock.instant();
        for (final PeerConnection connection : List.copyOf(mAll)) {
            if (connection.isExpired(now)) {
                connection.refuse(PeerRefusal.EXPIRED, "the certificate ran out");
            }
        }
    }

    void closeAll() {
        List.copyOf(mAll).forEach(PeerConnection::close);
    }
}
