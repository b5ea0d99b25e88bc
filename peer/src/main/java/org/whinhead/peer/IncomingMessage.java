package org.whinhead.peer;

import java.util.Objects;
import java.util.function.Consumer;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.VmId;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** A received message with its authenticated sender. */
public final class IncomingMessage {

    private final VmId mFrom;
    private final DaemonId mDaemon;
    private final Envelope mEnvelope;
    private final Consumer<Envelope> mReply;

    IncomingMessage(
            final VmId from,
            final DaemonId daemon,
            final Envelope envelope,
            final Consumer<Envelope> reply) {
        mFrom = Objects.requireNonNull(from, "from");
        mDaemon = Objects.requireNonNull(daemon, "daemon");
        mEnvelope = Objects.requireNonNull(envelope, "envelope");
        mReply = Objects.requireNonNull(reply, "reply");
    }

    /** Returns the sender's VM. */
    public VmId from() {
        return mFrom;
    }

    /** Returns the sender's daemon ID, which identifies one incarnation. */
    public DaemonId daemon() {
        return mDaemon;
    }

    /** Returns the message. */
    public Envelope envelope() {
        return mEnvelope;
    }

    /**
     * Sends the reply to a request. To be called at most once, from any thread.
     *
     * @param reply the reply; the transport sets sender, sequence and correlation
     */
    public void reply(final Envelope reply) {
        mReply.accept(reply);
    }
}
