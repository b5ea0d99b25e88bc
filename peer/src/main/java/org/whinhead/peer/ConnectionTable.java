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

/** The connections of one transport. All methods run on the event loop. */
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

    /** Returns the newest connection to a VM, whichever side opened it. */
    Optional<PeerConnection> find(final VmId vm) {
        return Optional.ofNullable(mNewest.get(vm));
    }

    /**
     * Adds a connection. Unauthenticated connections cost memory, so their number and the time that
     * each may take to identify itself are limited.
     */
    @Override
    public void started(final PeerConnection connection) {
        mAll.add(connection);
        if (connection.isDialed()) {
            return;
        }
        if (mUnauthenticated.size() >= mSettings.mostUnauthenticated()) {
            connection.refuse(
                    PeerRefusal.TOO_MANY,
                    mUnauthenticated.size() + " connections are unauthenticated already");
            return;
        }
        mUnauthenticated.add(connection);
        connection.refuseUnlessIdentifiedWithin(mSettings.handshakeTimeout());
    }

    /**
     * Registers a connection whose peer is identified. Of the connections that a VM opened itself
     * only the newest is kept, so that a VM that reconnects in a loop cannot fill the table.
     */
    @Override
    public void opened(final PeerConnection connection) {
        mUnauthenticated.remove(connection);
        mNewest.put(connection.peer(), connection);
        if (!connection.isDialed()) {
            final PeerConnection previous = mAccepted.put(connection.peer(), connection);
            if (previous != null) {
                previous.close();
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
     * Closes connections whose certificate has expired. Certificates are otherwise checked only in
     * the handshake, so a peer whose certificate was deliberately not renewed would stay connected.
     */
    void closeExpired() {
        final Instant now = mClock.instant();
        for (final PeerConnection connection : List.copyOf(mAll)) {
            if (connection.isExpired(now)) {
                connection.refuse(PeerRefusal.EXPIRED, "the certificate expired");
            }
        }
    }

    void closeAll() {
        List.copyOf(mAll).forEach(PeerConnection::close);
    }
}
