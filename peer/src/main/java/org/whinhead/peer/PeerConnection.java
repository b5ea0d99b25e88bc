package org.whinhead.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.VmId;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** A connection to a peer. All methods run on the transport's event loop. */
final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {

    private final ConnectionListener mListener;
    private final PeerCounters mCounters;
    private final PeerIdentity mSelf;
    private final Optional<VmId> mDialed;
    private final Optional<Envelope> mFirstMessage;
    private Channel mChannel;
    private X509Certificate mCertificate;
    private VmId mPeer;
    private DaemonId mPeerDaemon;
    private long mSequence;
    private boolean mReady;
    private boolean mRefused;

    /**
     * Creates the handler. The dialed VM is empty for a connection that the peer opened and for one
     * to a seed address, where any VM may listen. A connection to a seed sends the given first
     * message, and the seed identifies itself with its first message.
     */
    PeerConnection(
            final ConnectionListener listener,
            final PeerCounters counters,
            final PeerIdentity self,
            final Optional<VmId> dialed,
            final Optional<Envelope> firstMessage) {
        mListener = listener;
        mCounters = counters;
        mSelf = self;
        mDialed = dialed;
        mFirstMessage = firstMessage;
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
        mListener.started(this);
        if (!mRefused && context.pipeline().get(SslHandler.class) == null) {
            markReady();
        }
        context.fireChannelActive();
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof SslHandshakeCompletionEvent handshake) {
            handshakeEnded(context, handshake);
        } else if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    private void handshakeEnded(
            final ChannelHandlerContext context, final SslHandshakeCompletionEvent handshake) {
        if (!handshake.isSuccess()) {
            refuse(PeerRefusal.HANDSHAKE, String.valueOf(handshake.cause().getMessage()));
            return;
        }
        try {
            final SslHandler handler = context.pipeline().get(SslHandler.class);
            mCertificate = (X509Certificate) handler.engine().getSession().getPeerCertificates()[0];
        } catch (final SSLPeerUnverifiedException e) {
            refuse(PeerRefusal.HANDSHAKE, "no certificate");
            return;
        }
        if (mDialed.isPresent() && !CertificateNames.containsVm(mCertificate, mDialed.get())) {
            refuse(PeerRefusal.IDENTITY, "the certificate does not name " + mDialed.get());
            return;
        }
        markReady();
    }

    private void markReady() {
        mReady = true;
        if (mDialed.isPresent()) {
            mPeer = mDialed.get();
            mListener.opened(this);
        }
        mFirstMessage.ifPresent(this::write);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final Envelope envelope) {
        if (mRefused || !verifySender(envelope)) {
            return;
        }
        mCounters.countReceived(envelope.getSerializedSize());
        mListener.received(this, envelope);
    }

    /** Verifies the message's sender. The first message must contain it; later ones may omit it. */
    private boolean verifySender(final Envelope envelope) {
        if (!envelope.getFromVm().isEmpty()) {
            return verifyClaimedSender(envelope.getFromVm(), envelope.getFromDaemon());
        }
        if (mPeerDaemon == null) {
            refuse(PeerRefusal.IDENTITY, "the first message has no sender");
            return false;
        }
        return true;
    }

    private boolean verifyClaimedSender(final String vm, final String daemon) {
        if (vm.isBlank() || daemon.isBlank()) {
            refuse(PeerRefusal.IDENTITY, "the sender's VM or daemon is blank");
            return false;
        }
        final VmId claimed = new VmId(vm);
        final boolean changed = mPeer != null && !mPeer.equals(claimed);
        final boolean mismatch =
                mCertificate != null && !CertificateNames.containsVm(mCertificate, claimed);
        if (changed || mismatch) {
            refuse(PeerRefusal.IDENTITY, "the sender is not " + claimed);
            return false;
        }
        final boolean first = mPeer == null;
        mPeer = claimed;
        mPeerDaemon = new DaemonId(daemon);
        if (first) {
            mListener.opened(this);
        }
        return true;
    }

    /** Sends a message. The caller checks {@link #isWritable} first. */
    void write(final Envelope message) {
        final Envelope.Builder envelope = message.toBuilder().setSequence(++mSequence);
        if (mSequence == 1) {
            envelope.setFromVm(mSelf.vm().value()).setFromDaemon(mSelf.daemon().value());
        }
        final Envelope built = envelope.build();
        mCounters.countSent(built.getSerializedSize());
        mChannel.writeAndFlush(built, mChannel.voidPromise());
    }

    boolean isWritable() {
        return mReady && mChannel.isActive() && mChannel.isWritable();
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext context) {
        if (mPeer != null && context.channel().isWritable()) {
            mListener.writable(this);
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        mListener.closed(this);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        final Throwable root = cause.getCause() == null ? cause : cause.getCause();
        if (root instanceof TooLongFrameException) {
            refuse(PeerRefusal.OVERSIZED, root.getMessage());
        } else if (root instanceof InvalidProtocolBufferException) {
            refuse(PeerRefusal.MALFORMED, root.getMessage());
        } else if (!mReady && context.pipeline().get(SslHandler.class) != null) {
            refuse(PeerRefusal.HANDSHAKE, String.valueOf(root.getMessage()));
        } else if (!(root instanceof IOException)) {
            refuse(PeerRefusal.MALFORMED, String.valueOf(root.getMessage()));
        } else {
            context.close();
        }
    }

    /** Closes the connection and counts only its first refusal, not the errors that follow. */
    void refuse(final PeerRefusal refusal, final String detail) {
        if (!mRefused) {
            mRefused = true;
            mCounters.countRefusal(refusal, mChannel.remoteAddress(), detail);
        }
        mChannel.close();
    }

    void refuseUnlessIdentifiedWithin(final Duration timeout) {
        final Runnable check =
                () -> {
                    if (mPeer == null && mChannel.isActive()) {
                        refuse(PeerRefusal.SILENT, "no message within " + timeout);
                    }
                };
        mChannel.eventLoop().schedule(check, timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    void close() {
        mChannel.close();
    }

    boolean isDialed() {
        return mDialed.isPresent();
    }

    boolean isExpired(final Instant now) {
        return mCertificate != null && mCertificate.getNotAfter().toInstant().isBefore(now);
    }

    /** Returns the peer's VM, or null before the peer is identified. */
    VmId peer() {
        return mPeer;
    }

    DaemonId peerDaemon() {
        return mPeerDaemon;
    }

    /** Receives the events of a connection. */
    interface ConnectionListener {

        /** Called when the connection is established, before the peer is identified. */
        void started(PeerConnection connection);

        /** Called when the peer is identified and messages may be sent. */
        void opened(PeerConnection connection);

        /** Called when a message arrives. */
        void received(PeerConnection connection, Envelope envelope);

        /** Called when the connection is writable again. */
        void writable(PeerConnection connection);

        /** Called when the connection is closed, even if the peer was never identified. */
        void closed(PeerConnection connection);
    }
}
