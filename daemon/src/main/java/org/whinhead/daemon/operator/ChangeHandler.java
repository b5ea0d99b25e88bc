package org.whinhead.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.Optional;
import org.whinhead.daemon.log.ChangeResult;
import org.whinhead.daemon.log.LogService;
import org.whinhead.daemon.log.SettingsChange;
import org.whinhead.settings.daemon.OperatorKey;

/** Submits operators' changes of settings and replies once they are decided. */
final class ChangeHandler {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final long NO_REVISION = -1;

    private final LogService mLog;

    ChangeHandler(final LogService log) {
        mLog = log;
    }

    void post(final HttpServerExchange exchange, final OperatorKey key) {
        final Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(MAX_BODY_BYTES);
        receiver.receiveFullBytes(
                (received, body) ->
                        received.dispatch(
                                SameThreadExecutor.INSTANCE, () -> submit(received, key, body)),
                (received, cause) ->
                        received.dispatch(
                                SameThreadExecutor.INSTANCE, () -> sendTooLarge(received)));
    }

    private static void sendTooLarge(final HttpServerExchange exchange) {
        OperatorReplies.sendError(
                exchange,
                StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                "operator.body-too-large",
                MAX_BODY_BYTES);
    }

    private void submit(
            final HttpServerExchange exchange, final OperatorKey key, final byte[] body) {
        final SettingsChange change;
        try {
            change = parse(body, key);
        } catch (final IOException | IllegalArgumentException e) {
            OperatorReplies.sendError(
                    exchange, StatusCodes.BAD_REQUEST, "operator.bad-body", e.getMessage());
            return;
        }
        if (!key.canChange(change.path())) {
            OperatorReplies.sendError(
                    exchange,
                    StatusCodes.FORBIDDEN,
                    "operator.outside-subtree",
                    key.name(),
                    change.path());
            return;
        }
        mLog.submitChange(change)
                .thenAccept(
                        result ->
                                exchange.getIoThread()
                                        .execute(() -> sendResult(exchange, key, change, result)));
    }

    private static SettingsChange parse(final byte[] body, final OperatorKey key)
            throws IOException {
        final JsonNode root = MAPPER.readTree(body);
        final JsonNode document = root.path("document");
        if (!document.isNull() && !document.isObject()) {
            throw new IOException("document: expected an object or null");
        }
        final JsonNode base = root.path("baseRevision");
        if (!base.isMissingNode() && !base.isIntegralNumber()) {
            throw new IOException("baseRevision: expected a number");
        }
        return new SettingsChange(
                root.path("changeId").asText(),
                root.path("path").asText(),
                base.asLong(NO_REVISION),
                document.isObject() ? Optional.of(document.toString()) : Optional.empty(),
                author(key, root.path("author").asText()),
                root.path("reason").asText(),
                root.path("dryRun").asBoolean());
    }

    /** Returns the key's authenticated name, followed by the body's unauthenticated name. */
    private static String author(final OperatorKey key, final String claimedName) {
        return claimedName.isBlank() || claimedName.equals(key.name())
                ? key.name()
                : key.name() + "/" + claimedName;
    }

    private static void sendResult(
            final HttpServerExchange exchange,
            final OperatorKey key,
            final SettingsChange change,
            final ChangeResult result) {
        final ObjectNode root = OperatorReplies.object();
        if (result instanceof ChangeResult.InForce inForce) {
            root.put("revision", inForce.revision());
            OperatorReplies.sendJson(exchange, StatusCodes.OK, root);
        } else if (result instanceof ChangeResult.Conflict conflict) {
            root.put("winningRevision", conflict.winningRevision());
            root.put("author", conflict.author());
            OperatorReplies.sendJson(exchange, StatusCodes.CONFLICT, root);
        } else if (result instanceof ChangeResult.Undecided undecided) {
            root.put("message", undecided.message());
            root.put("verdict", undecided.verdict().wireName());
            OperatorReplies.sendJson(exchange, StatusCodes.SERVICE_UNAVAILABLE, root);
        } else if (result instanceof ChangeResult.Forbidden) {
            OperatorReplies.sendError(
                    exchange,
                    StatusCodes.FORBIDDEN,
                    "operator.outside-subtree",
                    key.name(),
                    change.path());
        } else {
            addProblems(root.putArray("problems"), result);
            OperatorReplies.sendJson(exchange, StatusCodes.UNPROCESSABLE_ENTITY, root);
        }
    }

    private static void addProblems(final ArrayNode problems, final ChangeResult result) {
        if (result instanceof ChangeResult.Invalid invalid) {
            invalid.problems()
                    .forEach(
                            problem ->
                                    problems.addObject()
                                            .put("path", problem.path())
                                            .put("messageKey", problem.messageKey())
                                            .put("message", problem.message()));
        } else if (result instanceof ChangeResult.Refused refused) {
            refused.problems().forEach(problems::add);
        }
    }
}
