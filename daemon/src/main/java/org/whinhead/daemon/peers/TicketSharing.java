package org.whinhead.daemon.peers;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.api.model.VmId;
import org.whinhead.api.request.RequestId;
import org.whinhead.daemon.request.TicketDirectory;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipView;
import org.whinhead.peer.PeerTransport;
import org.whinhead.peer.generated.PeerProto.Envelope;
import org.whinhead.peer.generated.PeerProto.TicketNote;
import org.whinhead.peer.generated.PeerProto.TicketQuery;
import org.whinhead.peer.generated.PeerProto.TicketReply;

/**
 * Keeps tickets of other daemons' requests in memory, and finds those that peers keep; thread-safe.
 *
 * <p>Guards against a second computation of a whole answer: its caller receives the ticket with the
 * answer, so after the end of its daemon it holds none and sends the request anew.
 */
final class TicketSharing implements TicketDirectory {

    /** The number of tickets kept; the oldest one makes room. */
    static final int MAX_TICKETS = 4_096;

    /** The time limit of a query; a peer that was lost with the ticket's writer never replies. */
    private static final Duration TIMEOUT = Duration.ofMillis(300);

    private static final Logger LOGGER = LoggerFactory.getLogger(TicketSharing.class);

    private final PeerTransport mTransport;
    private final VmId mSelf;
    private final Supplier<MembershipView> mView;
    private final Map<String, String> mTickets = new LinkedHashMap<>();

    TicketSharing(
            final PeerTransport transport, final VmId self, final Supplier<MembershipView> view) {
        mTransport = transport;
        mSelf = self;
        mView = view;
    }

    @Override
    public void store(final RequestId request, final String ticket) {
        final Envelope note =
                Envelope.newBuilder()
                        .setTicketNote(
                                TicketNote.newBuilder()
                                        .setRequestId(request.value())
                                        .setTicket(ticket))
                        .build();
        TicketKeepers.ofOwnRequest(mView.get(), mSelf, request)
                .forEach(keeper -> mTransport.send(keeper.address(), note));
    }

    @Override
    public CompletionStage<Optional<String>> find(final RequestId request) {
        final Optional<String> own = keptTicket(request.value());
        if (own.isPresent()) {
            return CompletableFuture.completedFuture(own);
        }
        final CompletableFuture<Optional<String>> found = new CompletableFuture<>();
        final List<CompletableFuture<Void>> queries =
                TicketKeepers.ofPeerRequest(mView.get(), mSelf, request).stream()
                        .map(keeper -> query(keeper, request, found))
                        .toList();
        CompletableFuture.allOf(queries.toArray(CompletableFuture[]::new))
                .whenComplete((ignored, failure) -> found.complete(Optional.empty()));
        return found;
    }

    /** Asks a peer; completes the result if the peer keeps the ticket. */
    private CompletableFuture<Void> query(
            final DaemonMember keeper,
            final RequestId request,
            final CompletableFuture<Optional<String>> found) {
        final Envelope query =
                Envelope.newBuilder()
                        .setTicketQuery(TicketQuery.newBuilder().setRequestId(request.value()))
                        .build();
        return mTransport
                .request(keeper.address(), query, TIMEOUT)
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                LOGGER.atDebug()
                                        .addKeyValue("request", request)
                                        .addKeyValue("keeper", keeper.id())
                                        .addKeyValue("cause", String.valueOf(failure.getMessage()))
                                        .log("no reply to the query for a ticket");
                            } else if (!reply.getTicketReply().getTicket().isEmpty()) {
                                found.complete(Optional.of(reply.getTicketReply().getTicket()));
                            }
                            return null;
                        });
    }

    /** Keeps a ticket of a peer's request. */
    void receive(final TicketNote note) {
        synchronized (mTickets) {
            mTickets.remove(note.getRequestId());
            mTickets.put(note.getRequestId(), note.getTicket());
            if (mTickets.size() > MAX_TICKETS) {
                mTickets.remove(mTickets.keySet().iterator().next());
            }
        }
    }

    /** Returns the reply to a peer's query. */
    Envelope answer(final TicketQuery query) {
        return Envelope.newBuilder()
                .setTicketReply(
                        TicketReply.newBuilder()
                                .setTicket(keptTicket(query.getRequestId()).orElse("")))
                .build();
    }

    private Optional<String> keptTicket(final String request) {
        synchronized (mTickets) {
            return Optional.ofNullable(mTickets.get(request));
        }
    }
}
