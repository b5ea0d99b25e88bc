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
 * What a caller that comes back for the rest of an answer brings along.
 *
 * @param ticket where the answer was being made
 * @param haveTokens how many tokens the caller already has
 * @param haveText their text
 */
record ResumeRequest(Ticket ticket, long deliveredTokens, String deliveredText) {

    private static final Logger LOGGER = LoggerFactory.getLogger(ResumeRequest.class);
    private static final EndpointId NO_ENDPOINT = new EndpointId("none");

    /** Reads a ticket and what goes with it; empty if the request brings none. */
    static Optional<ResumeRequest> parse(
            final HttpServerExchange exchange,
            final TicketCodec tickets,
            final Customer customer,
            final RequestId identity,
            final ChatRequest request,
            final Instant now)
            throws RequestException {
        final String text = exchange.getRequestHeaders().getFirst(CallerHeaders.TICKET);
        if (text == null) {
            return Optional.empty();
        }
        final long tokens = deliveredTokens(exchange);
        if (request.deliveredText().isEmpty() != (tokens == 0)) {
            throw refused(ChatFields.DELIVERED_TEXT + ": does not go with Last-Event-ID");
        }
        final Ticket ticket = ticket(text, tickets, customer, identity, now);
        return Optional.of(new ResumeRequest(ticket, tokens, request.deliveredText()));
    }

    /**
     * Reads a ticket, or makes one that names no stream where it cannot be read.
     *
     * <p>Guards against losing an accepted request over a key: the daemon that signed the ticket is
     * gone and had another key, or the key was replaced meanwhile. Generation may be repeated, and
     * the caller brings the text that it has, so the answer goes on from there; all that is lost is
     * the stream. A forged ticket gains nothing: its bearer could have sent the text by itself.
     */
    private static Ticket ticket(
            final String text,
            final TicketCodec tickets,
            final Customer customer,
            final RequestId identity,
            final Instant now) {
        try {
            return tickets.read(text, customer.id(), now);
        } catch (final RequestException e) {
            LOGGER.atWarn()
                    .addKeyValue("request", identity)
                    .addKeyValue("cause", e.getMessage())
                    .log("a ticket cannot be used; the answer goes on from the caller's text");
            return new Ticket(
                    new AttemptId(identity, 1),
                    customer.id(),
                    NO_ENDPOINT,
                    "",
                    0,
                    true,
                    now.plus(customer.tier().requestTimeout()));
        }
    }

    /** Returns the identity that the request has had from the beginning. */
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
            // Refused below, as a negative number is.
        }
        throw refused("header " + CallerHeaders.LAST_EVENT_ID + ": expected a whole number");
    }

    /** The request has run before, whatever is wrong with what the caller brings. */
    private static RequestException refused(final String detail) {
        return new RequestException(
                new Refusal(
                        ErrorCode.MALFORMED_REQUEST,
                        Verdict.MAY_HAVE_RUN,
                        detail,
                        Optional.empty()));
    }
}
