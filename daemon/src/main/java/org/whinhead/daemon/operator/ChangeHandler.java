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
import org.whinhead.daemon.log.ChangeAnswer;
import org.whinhead.daemon.log.LogDuty;
import org.whinhead.daemon.log.SettingsChange;
import org.whinhead.settings.daemon.OperatorKey;

/** Takes operators' changes of settings and answers once they are decided. */
final class ChangeHandler {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final long NO_REVISION = -1;

    private final LogDuty mDuty;

    ChangeHandler(final LogDuty duty) {
        mDuty = duty;
    }

    void post(final HttpServerExchange exchange, final OperatorKey key) {
        final Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(MAX_BODY_BYTES);
        receiver.receiveFullBytes(
                (same, body) ->
                        same.dispatch(SameThreadExecutor.INSTANCE, () -> take(same, key, body)),
                (same, cause) -> same.dispatch(SameThreadExecutor.INSTANCE, () -> broken(same)));
    }

    private static void broken(final HttpServerExchange exchange) {
        OperatorReplies.fail(
                exchange,
                StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                "operator.body-too-large",
                MAX_BODY_BYTES);
    }

    private void take(final HttpServerExchange exchange, final OperatorKey key, final byte[] body) {
        final SettingsChange change;
        try {
            change = parse(body, key);
        } catch (final IOException | IllegalArgumentException e) {
            OperatorReplies.fail(
                    exchange, StatusCodes.BAD_REQUEST, "operator.bad-body", e.getMessage());
            return;
        }
        if (!key.canChange(change.path())) {
            OperatorReplies.fail(
                    exchange,
                    StatusCodes.FORBIDDEN,
                    "operator.outside-subtree",
                    key.name(),
                    change.path());
            return;
        }
        mDuty.change(change)
                .thenAccept(
                        answer ->
                                exchange.getIoThread()
                                        .execute(() -> answer(exchange, key, change, answer)));
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

    /** Names the key first, whose holder is certain; the name in the body is the caller's word. */
    private static String author(final OperatorKey key, final String said) {
        return said.isBlank() || said.equals(key.name()) ? key.name() : key.name() + "/" + said;
    }

    private static void answer(
            final HttpServerExchange exchange,
            final OperatorKey key,
            final SettingsChange change,
            final ChangeAnswer answer) {
        final ObjectNode root = OperatorReplies.object();
        if (answer instanceof ChangeAnswer.InForce inForce) {
            root.put("revision", inForce.revision());
            OperatorReplies.json(exchange, StatusCodes.OK, root);
        } else if (answer instanceof ChangeAnswer.Conflict conflict) {
            root.put("winningRevision", conflict.winningRevision());
            root.put("author", conflict.author());
            OperatorReplies.json(exchange, StatusCodes.CONFLICT, root);
        } else if (answer instanceof ChangeAnswer.Undecided undecided) {
            root.put("message", undecided.message());
            root.put("verdict", undecided.verdict().wireName());
            OperatorReplies.json(exchange, StatusCodes.SERVICE_UNAVAILABLE, root);
        } else if (answer instanceof ChangeAnswer.Forbidden) {
            OperatorReplies.fail(
                    exchange,
                    StatusCodes.FORBIDDEN,
                    "operator.outside-subtree",
                    key.name(),
                    change.path());
        } else {
            problems(root.putArray("problems"), answer);
            OperatorReplies.json(exchange, StatusCodes.UNPROCESSABLE_ENTITY, root);
        }
    }

    private static void problems(final ArrayNode problems, final ChangeAnswer answer) {
        if (answer instanceof ChangeAnswer.Invalid invalid) {
            invalid.problems()
                    .forEach(
                            problem ->
                                    problems.addObject()
                                            .put("path", problem.path())
                                            .put("messageKey", problem.messageKey())
                                            .put("message", problem.message()));
        } else if (answer instanceof ChangeAnswer.Refused refused) {
            refused.problems().forEach(problems::add);
        }
    }
}
