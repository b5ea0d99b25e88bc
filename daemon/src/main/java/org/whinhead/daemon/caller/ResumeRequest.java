package org.whinhead.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.time.Instant;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.request.LiveRequest;
import org.whinhead.requests.Ticket;
import org.whinhead.requests.TicketCodec;

/**
 * A caller's request for the rest of an interrupted answer.
 *
 * @param ticket the ticket, which names the answer's attempt, endpoint and stream
 * @param deliveredTokens the number of tokens that the caller already has
 * @param deliveredText the text of these tokens
 */
record ResumeRequest(Ticket ticket, long deliveredTokens, String deliveredText) {

    private static final Logger LOGGER = LoggerFactory.getLogger(ResumeRequest.class);
    private static final EndpointId NO_ENDPOINT = new EndpointId("none");

    /**
     * Parses a ticket and the delivered tokens.
     *
     * @throws RequestException if the last event id is not a number, or only one of it and the
     *     delivered text is present
     */
    static ResumeRequest parse(
            final HttpServerExchange exchange,
            final String text,
            final TicketCodec tickets,
            final Customer customer,
            final RequestId requestId,
            final ChatRequest request,
            final Instant now)
            throws RequestException {
        final long tokens = deliveredTokens(exchange);
        if (request.deliveredText().isEmpty() != (tokens == 0)) {
            throw refused(ChatFields.DELIVERED_TEXT + ": does not go with Last-Event-ID");
        }
        final Ticket ticket = ticket(text, tickets, customer, requestId, now);
        return new ResumeRequest(ticket, tokens, request.deliveredText());
    }

    /**
     * Reads a ticket, or creates one without a stream if the ticket is invalid.
     *
     * <p>An accepted request must not be lost because the daemon that signed the ticket had another
     * key, or the key was replaced. Generation may be repeated, so the answer continues from the
     * caller's text and only the stream is lost. A forged ticket gains nothing: its bearer could
     * have sent the text without it.
     */
    private static Ticket ticket(
            final String text,
            final TicketCodec tickets,
            final Customer customer,
            final RequestId requestId,
            final Instant now) {
        try {
            return tickets.read(text, customer.id(), now);
        } catch (final RequestException e) {
            LOGGER.atWarn()
                    .addKeyValue("request", requestId)
                    .addKeyValue("cause", e.getMessage())
                    .log("ticket not valid, answer resumed from the caller's text");
            return new Ticket(
                    new AttemptId(requestId, 1),
                    customer.id(),
                    NO_ENDPOINT,
                    "",
                    0,
                    true,
                    now.plus(customer.tier().requestTimeout()));
        }
    }

    /** Returns the id that the request had in its first submission. */
    RequestId requestId() {
        return ticket.attempt().request();
    }

    DecisionEvent toEvent(final LiveRequest live) {
        return new DecisionEvent.ResumeRequested(live, ticket, deliveredTokens, deliveredText);
    }

    private static long deliveredTokens(final HttpServerExchange exchange) throws RequestException {
        final String last = exchange.getRequestHeaders().getFirst(CallerHeaders.LAST_EVENT_ID);
        if (last == null) {
            return 0;
        }
        try {
            final long index = Long.parseLong(last);
            if (index >= 0) {
                return index + 1;
            }
        } catch (final NumberFormatException e) {
            // Refused below, like a negative number.
        }
        throw refused("header " + CallerHeaders.LAST_EVENT_ID + ": expected a whole number");
    }

    /** Returns a refusal that says "may have run": the ticket shows that the request ran before. */
    private static RequestException refused(final String detail) {
        return new RequestException(
                new Refusal(
                        ErrorCode.MALFORMED_REQUEST,
                        Verdict.MAY_HAVE_RUN,
                        detail,
                        Optional.empty()));
    }
}
