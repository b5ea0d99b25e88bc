package org.whinhead.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Supplier;
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
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.requests.TicketCodec;

/** Takes chat requests: {@code POST /v1/chat/completions}. */
final class ChatHandler {

    private final Supplier<DeploymentView> mView;
    private final RequestSubmitter mSubmitter;
    private final BodyReceiver mBodyReceiver;
    private final RequestNames mNames;
    private final TicketCodec mTickets;
    private final InstantSource mClock;

    ChatHandler(
            final Supplier<DeploymentView> view,
            final RequestSubmitter intake,
            final BodyReceiver bodies,
            final RequestNames names,
            final TicketCodec tickets,
            final InstantSource clock) {
        mView = view;
        mSubmitter = intake;
        mBodyReceiver = bodies;
        mNames = names;
        mTickets = tickets;
        mClock = clock;
    }

    void handle(final HttpServerExchange exchange, final Customer customer, final String name)
            throws RequestException {
        mSubmitter.checkAccepting();
        mBodyReceiver.receive(exchange, body -> submit(exchange, customer, name, body));
    }

    private void submit(
            final HttpServerExchange exchange,
            final Customer customer,
            final String name,
            final byte[] bytes)
            throws RequestException {
        final ChatRequest request = ChatRequestParser.parse(bytes);
        final ModelRef model = model(request.model());
        final Optional<ResumeRequest> comeback =
                ResumeRequest.parse(
                        exchange,
                        mTickets,
                        customer,
                        mNames.requestId(customer, name),
                        request,
                        mClock.instant());
        final RequestId id =
                comeback.isPresent() ? comeback.get().requestId() : identity(customer, name);
        final ChatResponseJson chunks = new ChatResponseJson(name, request.model());
        mSubmitter.submit(
                exchange,
                spec(request, model, customer, id),
                new RequestBody.Chat(request.encoder(model, customer.tier().priority())),
                request.streamed()
                        ? new StreamedFormat(chunks)
                        : new BufferedFormat(chunks, request.deliveredText()),
                live ->
                        comeback.<DecisionEvent>map(c -> c.toEvent(live))
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
     * Guards against a caller that asks again under the same name while its first request runs:
     * generation may be repeated, so the second gets an identity and an answer of its own.
     */
    private RequestId identity(final Customer customer, final String name) {
        final RequestId asked = mNames.requestId(customer, name);
        return mSubmitter.isInProgress(asked)
                ? mNames.requestId(customer, mNames.newName())
                : asked;
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
                .promptTokens(PrefixHashes.words(request.prompt()))
                .maxTokens(request.maxTokens())
                .arrived(now)
                .deadline(now.plus(customer.tier().requestTimeout()))
                .build();
    }
}
