package org.whinhead.daemon.engine;

import java.util.function.Supplier;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.daemon.request.LiveRequest;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.daemon.request.TicketDirectory;
import org.whinhead.requests.Completion;
import org.whinhead.requests.PlainAnswer;
import org.whinhead.requests.RequestActions;
import org.whinhead.requests.Ticket;
import org.whinhead.requests.TicketCodec;

/** Executes the coordinator's actions by passing them to the IO threads. */
public final class ActionDispatcher implements RequestActions {

    private final LiveRequests mRequests;
    private final AttemptTransport mTransport;
    private final TicketCodec mTickets;
    private final ClaimService mClaimService;
    private final Supplier<TicketDirectory> mDirectory;

    /**
     * Creates a dispatcher.
     *
     * @param requests the requests in progress
     * @param transport starts and cancels attempts at endpoints
     * @param tickets encodes tickets
     * @param claimService requests and withdraws claims
     * @param directory keeps the tickets of callers that receive theirs with the whole answer
     */
    public ActionDispatcher(
            final LiveRequests requests,
            final AttemptTransport transport,
            final TicketCodec tickets,
            final ClaimService claimService,
            final Supplier<TicketDirectory> directory) {
        mRequests = requests;
        mTransport = transport;
        mTickets = tickets;
        mClaimService = claimService;
        mDirectory = directory;
    }

    @Override
    public void generate(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String deliveredText,
            final long deliveredTokens) {
        mRequests
                .find(attempt.request())
                .ifPresent(
                        request ->
                                mTransport.generate(
                                        request,
                                        attempt,
                                        endpoint,
                                        deliveredText,
                                        deliveredTokens));
    }

    @Override
    public void resume(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String streamId,
            final long fromIndex) {
        mRequests
                .find(attempt.request())
                .ifPresent(
                        request ->
                                mTransport.resume(request, attempt, endpoint, streamId, fromIndex));
    }

    @Override
    public void move(
            final AttemptId attempt,
            final Endpoint from,
            final String streamId,
            final Endpoint to) {
        mRequests
                .find(attempt.request())
                .ifPresent(request -> mTransport.move(request, attempt, from, streamId, to));
    }

    @Override
    public void call(final AttemptId attempt, final Endpoint endpoint) {
        mRequests
                .find(attempt.request())
                .ifPresent(request -> mTransport.call(request, attempt, endpoint));
    }

    @Override
    public void cancel(final AttemptId attempt, final Endpoint endpoint, final String streamId) {
        mTransport.cancel(attempt, endpoint, streamId);
    }

    @Override
    public void release(final AttemptId attempt) {
        mTransport.release(attempt);
    }

    @Override
    public void claim(final RequestId request) {
        mClaimService.claim(request);
    }

    @Override
    public void unclaim(final RequestId request) {
        mClaimService.withdraw(request);
    }

    @Override
    public void deliver(final RequestId request, final long index, final String text) {
        mRequests.find(request).ifPresent(live -> live.reply().sendToken(index, text));
    }

    @Override
    public void complete(final RequestId request, final Completion completion) {
        mRequests.remove(request).ifPresent(live -> live.reply().complete(completion));
    }

    @Override
    public void answer(final RequestId request, final PlainAnswer answer) {
        mRequests.remove(request).ifPresent(live -> live.reply().sendAnswer(answer));
    }

    @Override
    public void refuse(final RequestId request, final Refusal refusal) {
        mRequests.remove(request).ifPresent(live -> live.reply().refuse(refusal));
    }

    @Override
    public void ticket(final RequestId request, final Ticket ticket) {
        mRequests.find(request).ifPresent(live -> sendTicket(live, ticket));
    }

    private void sendTicket(final LiveRequest live, final Ticket ticket) {
        final String encoded = mTickets.write(ticket);
        live.reply().sendTicket(encoded);
        if (!live.spec().streamed() && !ticket.streamId().isEmpty()) {
            mDirectory.get().store(live.spec().id(), encoded);
        }
    }

    @Override
    public void handBack(final RequestId request, final Ticket ticket, final Refusal refusal) {
        mRequests
                .remove(request)
                .ifPresent(live -> live.reply().handBack(mTickets.write(ticket), refusal));
    }
}
