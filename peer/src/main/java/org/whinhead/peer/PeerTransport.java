package org.whinhead.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** Carries messages between daemons. No call blocks, and any thread may make it. */
public interface PeerTransport extends AutoCloseable {

    /**
     * Sends a message, which may be lost.
     *
     * @param to the receiver
     * @param message the message; the transport fills in sender, sequence and correlation
     */
    void send(DaemonAddress to, Envelope message);

    /**
     * Sends a request.
     *
     * @param to the receiver
     * @param message the request; the transport fills in sender, sequence and correlation
     * @param timeout how long to wait for the reply
     * @return the reply, or a failure with a {@link PeerException}; completed on the transport's
     *     thread, which must not be held up
     */
    CompletableFuture<Envelope> request(DaemonAddress to, Envelope message, Duration timeout);

    /** Does what is due now and then: takes in replaced certificates, closes what expired. */
    void tick();

    /** Returns what the transport has counted so far. */
    PeerCounters counters();

    @Override
    void close();
}
