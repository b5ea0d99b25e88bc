package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.UUID;
import org.whinhead.cli.CliException;
import org.whinhead.cli.CliOption;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonClient;
import org.whinhead.cli.http.OperatorResponse;

/**
 * A change of a settings document, sent to daemons.
 *
 * @param changeId the id of the change, the same in each attempt
 * @param path the path of the document
 * @param baseRevision the revision that the change replaces; -1 if there must be none
 * @param document the new document; empty to delete it
 */
record SettingsChangeRequest(
        String changeId, String path, long baseRevision, Optional<JsonNode> document) {

    private static final long NO_REVISION = -1;
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the id given as an option, to repeat a change with a lost response, or a new one. */
    static String resolveChangeId(final Invocation invocation) {
        return invocation.text(CliOption.CHANGE_ID).orElseGet(() -> UUID.randomUUID().toString());
    }

    /** Returns the reason for the change, which auditors need. */
    static String requireReason(final Invocation invocation) throws CliException {
        return invocation
                .text(CliOption.REASON)
                .filter(reason -> !reason.isBlank())
                .orElseThrow(() -> new CliException(ExitCode.USAGE, "usage.no-reason"));
    }

    /**
     * Reads the current document at a path. The path of a deleted document has the revision of the
     * deletion, and a change that creates the document again replaces that revision.
     */
    static CurrentDocument current(final DaemonClient client, final String path)
            throws CliException {
        final OperatorResponse response =
                client.get("/operator/settings?path=" + OperatorResponses.encodeQuery(path));
        final JsonNode body =
                response.status() == NOT_FOUND
                        ? response.body()
                        : OperatorResponses.requireBody(response);
        final Optional<JsonNode> document =
                Optional.of(body.path("document")).filter(JsonNode::isObject);
        return new CurrentDocument(body.path("revision").asLong(NO_REVISION), document);
    }

    /**
     * The current document at a path.
     *
     * @param revision the base revision that a change must give; -1 if there is none
     * @param document the document in force; empty if there is none
     */
    record CurrentDocument(long revision, Optional<JsonNode> document) {}

    /** Sends the change and returns the body of the response. */
    JsonNode send(final DaemonClient client, final Invocation invocation) throws CliException {
        final ObjectNode body = MAPPER.createObjectNode();
        body.put("changeId", changeId);
        body.put("path", path);
        body.put("baseRevision", baseRevision);
        body.set("document", document.orElse(MAPPER.nullNode()));
        body.put("author", invocation.text(CliOption.AUTHOR).orElse(systemUser()));
        body.put("reason", requireReason(invocation));
        body.put("dryRun", invocation.has(CliOption.DRY_RUN));
        return OperatorResponses.requireBody(client.post("/operator/settings", body));
    }

    private static String systemUser() {
        return System.getProperty("user.name");
    }
}
