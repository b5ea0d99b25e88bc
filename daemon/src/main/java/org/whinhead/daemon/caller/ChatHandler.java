package org.whinhead.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.request.PrefixHashes;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.request.RequestBody;
import org.whinhead.daemon.request.TicketDirectory;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.requests.TicketCodec;

/** Parses and submits chat requests: {@code POST /v1/chat/completions}. */
final class ChatHandler {

    private static final Logger LOGGER = LoggerFactory.getLogger(ChatHandler.class);

    private final Supplier<DeploymentView> mView;
    private final RequestSubmitter mSubmitter;
    private final BodyReceiver mBodyReceiver;
    private final RequestNames mNames;
    private final TicketCodec mTickets;
    private final TicketDirectory mTicketDirectory;
    private final InstantSource mClock;

    ChatHandler(
            final Supplier<DeploymentView> view,
            final RequestSubmitter submitter,
            final BodyReceiver bodyReceiver,
            final RequestNames names,
            final TicketCodec tickets,
            final TicketDirectory ticketDirectory,
            final InstantSource clock) {
        mView = view;
        mSubmitter = submitter;
        mBodyReceiver = bodyReceiver;
        mNames = names;
        mTickets = tickets;
        mTicketDirectory = ticketDirectory;
        mClock = clock;
    }

    void handle(final HttpServerExchange exchange, final Customer customer, final String name)
            throws RequestException {
        mSubmitter.checkAccepting();
        mBodyReceiver.receive(
                exchange, body -> findTicketAndSubmit(exchange, customer, name, body));
    }

    /**
     * Submits a request with the caller's ticket. A caller that waits for a whole answer receives
     * its ticket with the answer; if it repeats the request, the ticket is asked of other daemons.
     */
    private void findTicketAndSubmit(
            final HttpServerExchange exchange,
            final Customer customer,
            final String name,
            final byte[] bytes)
            throws RequestException {
        final ChatRequest request = ChatRequestParser.parse(bytes);
        final String ticket = exchange.getRequestHeaders().getFirst(CallerHeaders.TICKET);
        if (ticket != null || request.streamed() || !CallerHeaders.isRepeat(exchange)) {
            submit(exchange, customer, name, request, Optional.ofNullable(ticket));
            return;
        }
        mTicketDirectory
                .find(mNames.requestId(customer, name))
                .thenAccept(
                        found ->
                                exchange.getIoThread()
                                        .execute(
                                                () ->
                                                        submitOrRefuse(
                                                                exchange, customer, name, request,
                                                                found)));
    }

    private void submitOrRefuse(
            final HttpServerExchange exchange,
            final Customer customer,
            final String name,
            final ChatRequest request,
            final Optional<String> ticket) {
        try {
            submit(exchange, customer, name, request, ticket);
        } catch (final RequestException e) {
            Refusals.send(exchange, e.refusal());
        } catch (final RuntimeException e) {
            // The server ends an exchange after an exception only within its own calls.
            LOGGER.atError().setCause(e).addKeyValue("request", name).log("request not submitted");
            exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
            exchange.endExchange();
        }
    }

    private void submit(
            final HttpServerExchange exchange,
            final Customer customer,
            final String name,
            final ChatRequest request,
            final Optional<String> ticket)
            throws RequestException {
        final ModelRef model = model(request.model());
        final Optional<ResumeRequest> resume =
                ticket.isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                ResumeRequest.parse(
                                        exchange,
                                        ticket.get(),
                                        mTickets,
                                        customer,
                                        mNames.requestId(customer, name),
                                        request,
                                        mClock.instant()));
        final RequestId id =
                resume.isPresent() ? resume.get().requestId() : uniqueRequestId(customer, name);
        final ChatResponseJson json = new ChatResponseJson(name, request.model());
        mSubmitter.submit(
                exchange,
                spec(request, model, customer, id),
                new RequestBody.Chat(request.encoder(model, customer.tier().priority())),
                request.streamed()
                        ? new StreamedFormat(json)
                        : new BufferedFormat(json, request.deliveredText()),
                live ->
                        resume.<DecisionEvent>map(r -> r.toEvent(live))
                                .orElseGet(() -> new DecisionEvent.Arrived(live)));
    }

    private ModelRef model(final String name) throws RequestException {
        return mView.get()
                .model(name)
                .orElseThrow(
                        () ->
                                new RequestException(
                                        Refusal.notRun(ErrorCode.UNKNOWN_TARGET, "model " + name)));
    }

    /**
     * Returns the request's id. A name that is in progress already gets a new id: generation may be
     * repeated, so the second request is answered on its own.
     */
    private RequestId uniqueRequestId(final Customer customer, final String name) {
        final RequestId named = mNames.requestId(customer, name);
        return mSubmitter.isInProgress(named)
                ? mNames.requestId(customer, mNames.newName())
                : named;
    }

    private RequestSpec spec(
            final ChatRequest request,
            final ModelRef model,
            final Customer customer,
            final RequestId id) {
        final Instant now = mClock.instant();
        return RequestSpec.builder(id)
                .customer(customer.id())
                .tier(customer.tier())
                .model(model)
                .streamed(request.streamed())
                .prefixHashes(PrefixHashes.of(model.toString(), request.prompt()))
                .promptTokens(PrefixHashes.countWords(request.prompt()))
                .maxTokens(request.maxTokens())
                .arrived(now)
                .deadline(now.plus(customer.tier().requestTimeout()))
                .build();
    }
}
