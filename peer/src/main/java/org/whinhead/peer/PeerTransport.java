package org.whinhead.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** Sends messages between daemons. Thread-safe; sending never blocks. */
public interface PeerTransport extends AutoCloseable {

    /**
     * Sends a message, which may be lost.
     *
     * @param to the receiver
     * @param message the message; the transport sets sender, sequence and correlation
     */
    void send(DaemonAddress to, Envelope message);

    /**
     * Sends a request and returns its future reply.
     *
     * @param to the receiver
     * @param message the request; the transport sets sender, sequence and correlation
     * @param timeout the time in which the reply must arrive
     * @return the reply, or a failure with a {@link PeerException} if there is none in time; may be
     *     completed on the transport's thread, which must not be blocked
     */
    CompletableFuture<Envelope> request(DaemonAddress to, Envelope message, Duration timeout);

    /** Reloads TLS files and closes connections with expired certificates; called periodically. */
    void tick();

    /** Returns the transport's counters. */
    PeerCounters counters();

    @Override
    void close();
}
