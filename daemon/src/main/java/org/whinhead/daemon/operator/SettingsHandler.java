package org.whinhead.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.whinhead.daemon.log.LogService;
import org.whinhead.daemon.log.LogSnapshot;
import org.whinhead.state.settings.SettingRevision;
import org.whinhead.state.settings.SettingsState;

/** Serves the settings in force, their history and the daemons that have folded a revision. */
final class SettingsHandler {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SUBTREE_SUFFIX = "/";
    private static final long DEFAULT_MAX_REVISIONS = 20;

    private final LogService mLog;
    private final String mSelf;
    private final RevisionQuery mPeers;

    SettingsHandler(final LogService log, final String self, final RevisionQuery peers) {
        mLog = log;
        mSelf = self;
        mPeers = peers;
    }

    void get(final HttpServerExchange exchange) {
        final String path = QueryParameters.text(exchange, "path");
        final SettingsState state = state();
        if (path.endsWith(SUBTREE_SUFFIX)) {
            final ArrayNode list = JsonNodeFactory.instance.arrayNode();
            state.documents().tailMap(path, false).keySet().stream()
                    .takeWhile(child -> child.startsWith(path))
                    .forEach(
                            child ->
                                    list.add(
                                            inForce(
                                                    child,
                                                    state.currentRevision(child).orElseThrow())));
            OperatorReplies.sendJson(exchange, StatusCodes.OK, list);
            return;
        }
        final Optional<SettingRevision> revision = state.currentRevision(path);
        if (revision.isPresent() && revision.get().document().isPresent()) {
            OperatorReplies.sendJson(exchange, StatusCodes.OK, inForce(path, revision.get()));
        } else {
            sendNotFound(exchange, path, revision);
        }
    }

    private SettingsState state() {
        return mLog.snapshot().fold().state().settings();
    }

    private static void sendNotFound(
            final HttpServerExchange exchange,
            final String path,
            final Optional<SettingRevision> deletion) {
        final ObjectNode root = OperatorReplies.object();
        root.put("message", OperatorMessages.text("operator.nothing-there", path));
        deletion.ifPresent(revision -> root.put("revision", revision.revision()));
        OperatorReplies.sendJson(exchange, StatusCodes.NOT_FOUND, root);
    }

    private static ObjectNode inForce(final String path, final SettingRevision revision) {
        return describe(OperatorReplies.object().put("path", path), revision);
    }

    private static ObjectNode describe(final ObjectNode root, final SettingRevision revision) {
        root.put("revision", revision.revision());
        root.set("document", document(revision));
        root.put("author", revision.author());
        root.put("reason", revision.reason());
        root.put("at", revision.at().toString());
        return root;
    }

    private static JsonNode document(final SettingRevision revision) {
        try {
            return revision.document().isPresent()
                    ? MAPPER.readTree(revision.document().get())
                    : JsonNodeFactory.instance.nullNode();
        } catch (final IOException e) {
            // The fold accepts only JSON; any other text would be shown as a string.
            return JsonNodeFactory.instance.textNode(revision.document().get());
        }
    }

    void history(final HttpServerExchange exchange) {
        final String path = QueryParameters.text(exchange, "path");
        final List<SettingRevision> revisions = state().history().getOrDefault(path, List.of());
        if (revisions.isEmpty()) {
            sendNotFound(exchange, path, Optional.empty());
            return;
        }
        final long max = QueryParameters.number(exchange, "max").orElse(DEFAULT_MAX_REVISIONS);
        final ObjectNode root = OperatorReplies.object();
        final ArrayNode array = root.putArray("revisions");
        for (int i = revisions.size() - 1; i >= 0 && array.size() < max; i--) {
            describe(array.addObject(), revisions.get(i))
                    .put("changeId", revisions.get(i).changeId());
        }
        OperatorReplies.sendJson(exchange, StatusCodes.OK, root);
    }

    void inForce(final HttpServerExchange exchange) {
        final OptionalLong revision = QueryParameters.number(exchange, "revision");
        if (revision.isEmpty()) {
            OperatorReplies.sendError(
                    exchange,
                    StatusCodes.BAD_REQUEST,
                    "operator.bad-parameter",
                    "revision",
                    QueryParameters.text(exchange, "revision"));
            return;
        }
        final long target = revision.getAsLong();
        OperatorReplies.sendWhenComplete(
                exchange,
                mPeers.query(target),
                report ->
                        OperatorReplies.sendJson(exchange, StatusCodes.OK, report(target, report)));
    }

    private ObjectNode report(final long target, final RevisionQuery.Report peers) {
        final ObjectNode root = OperatorReplies.object();
        final ArrayNode inForce = root.putArray("inForce");
        final ArrayNode missing = root.putArray("missing");
        final LogSnapshot snapshot = mLog.snapshot();
        (snapshot.hasFolded(target) ? inForce : missing).add(mSelf);
        peers.inForce().forEach(inForce::add);
        peers.missing().forEach(missing::add);
        return root;
    }
}
