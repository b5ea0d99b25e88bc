package org.whinhead.requests;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;
import org.whinhead.api.verdict.Verdict;

/**
 * Encodes tickets as signed text and decodes them.
 *
 * <p>Guards against forged, modified, expired or shared tickets, with which a caller could read
 * another customer's answer. The signature covers every field and the key's name, and the ticket's
 * customer must match the caller. A refusal has the verdict "may have run", since the request of a
 * ticket that was once valid did start somewhere.
 */
public final class TicketCodec {

    private static final String ALGORITHM = "HmacSHA256";
    private static final String FORMAT = "w1";
    private static final String SEPARATOR = ".";
    private static final int PARTS = 4;
    private static final int MAX_LENGTH = 4096;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TicketKey mSigningKey;
    private final Map<String, TicketKey> mKeys = new LinkedHashMap<>();

    /**
     * Creates a codec.
     *
     * @param keys the valid keys, at least one; the first signs, all verify
     */
    public TicketCodec(final List<TicketKey> keys) {
        Arguments.requireAtLeast(keys.size(), 1, "number of keys");
        mSigningKey = keys.get(0);
        keys.forEach(key -> mKeys.put(key.name(), key));
    }

    /**
     * Encodes and signs a ticket.
     *
     * @param ticket the ticket
     * @return the text, suitable as the value of a header
     */
    public String write(final Ticket ticket) {
        final String payload =
                FORMAT
                        + SEPARATOR
                        + encode(mSigningKey.name().getBytes(StandardCharsets.UTF_8))
                        + SEPARATOR
                        + encode(toJson(ticket));
        return payload + SEPARATOR + encode(signature(mSigningKey, payload));
    }

    /**
     * Decodes a ticket and checks that it is valid for a caller at a time.
     *
     * @param text the text that the caller sent
     * @param caller the customer that presents the ticket
     * @param now the current time
     * @return the ticket
     * @throws RequestException if the ticket is malformed, forged, expired or another customer's
     */
    public Ticket read(final String text, final CustomerId caller, final Instant now)
            throws RequestException {
        final Ticket ticket = verify(text);
        if (!ticket.customer().equals(caller)) {
            throw refusal("it belongs to another customer");
        }
        if (!now.isBefore(ticket.deadline())) {
            throw refusal("it has expired");
        }
        return ticket;
    }

    private Ticket verify(final String text) throws RequestException {
        final int end = text.lastIndexOf(SEPARATOR);
        final String[] parts = text.split("\\" + SEPARATOR, -1);
        if (text.length() > MAX_LENGTH || parts.length != PARTS || !FORMAT.equals(parts[0])) {
            throw refusal("it is malformed");
        }
        try {
            final String name = new String(decode(parts[1]), StandardCharsets.UTF_8);
            final Optional<TicketKey> key = Optional.ofNullable(mKeys.get(name));
            final String payload = text.substring(0, end);
            if (key.isEmpty() || !isSignatureValid(key.get(), payload, parts[PARTS - 1])) {
                throw refusal("its signature is not valid");
            }
            return fromJson(MAPPER.readTree(decode(parts[2])));
        } catch (final IOException | IllegalArgumentException | DateTimeException e) {
            throw refusal("it is malformed");
        }
    }

    private static byte[] toJson(final Ticket ticket) {
        final ObjectNode node = MAPPER.createObjectNode();
        node.put("request", ticket.attempt().request().value());
        node.put("attempt", ticket.attempt().number());
        node.put("customer", ticket.customer().value());
        node.put("endpoint", ticket.endpoint().value());
        node.put("stream", ticket.streamId());
        node.put("offset", ticket.indexOffset());
        node.put("idempotent", ticket.idempotent());
        node.put("deadline", ticket.deadline().toString());
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException(
                    "a JSON tree of strings and numbers failed to serialize", e);
        }
    }

    private static Ticket fromJson(final JsonNode node) {
        final RequestId request = new RequestId(node.path("request").asText());
        return new Ticket(
                new AttemptId(request, node.path("attempt").asInt()),
                new CustomerId(node.path("customer").asText()),
                new EndpointId(node.path("endpoint").asText()),
                node.path("stream").asText(),
                node.path("offset").asLong(),
                node.path("idempotent").asBoolean(),
                Instant.parse(node.path("deadline").asText()));
    }

    /** Compares the encoded signatures, since several texts decode to the same bytes. */
    private static boolean isSignatureValid(
            final TicketKey key, final String payload, final String given) {
        return MessageDigest.isEqual(
                encode(signature(key, payload)).getBytes(StandardCharsets.UTF_8),
                given.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] signature(final TicketKey key, final String payload) {
        try {
            final Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
            return mac.doFinal(payload.getBytes(StandardCharsets.US_ASCII));
        } catch (final GeneralSecurityException e) {
            throw new IllegalStateException("the Java platform must support " + ALGORITHM, e);
        }
    }

    private static String encode(final byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private static byte[] decode(final String text) {
        return Base64.getUrlDecoder().decode(text);
    }

    private static RequestException refusal(final String why) {
        return new RequestException(
                new Refusal(ErrorCode.BAD_TICKET, Verdict.MAY_HAVE_RUN, why, Optional.empty()));
    }
}
