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
 * One change as it is sent to daemons.
 *
 * @param changeId the change's name, the same in each try
 * @param path the document's path
 * @param baseRevision the revision that it replaces
 * @param document the new document; empty to delete it
 */
record SettingsChange(
        String changeId, String path, long baseRevision, Optional<JsonNode> document) {

    private static final long NO_REVISION = -1;
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Names a change: by the option, so that a lost one can be repeated, or anew. */
    static String newChangeId(final Invocation invocation) {
        return invocation.text(CliOption.CHANGE_ID).orElseGet(() -> UUID.randomUUID().toString());
    }

    /** Returns why the change is made, which an auditor will ask. */
    static String requireReason(final Invocation invocation) throws CliException {
        return invocation
                .text(CliOption.REASON)
                .filter(reason -> !reason.isBlank())
                .orElseThrow(() -> new CliException(ExitCode.USAGE, "usage.no-reason"));
    }

    /**
     * Asks what stands at a path. A path whose document was deleted has a revision too, the
     * deletion's, and a change that makes the document anew replaces that one.
     */
    static CurrentDocument current(final DaemonClient client, final String path)
            throws CliException {
        final OperatorResponse answer =
                client.get("/operator/settings?path=" + OperatorResponses.encodeQuery(path));
        final JsonNode body =
                answer.status() == NOT_FOUND
                        ? answer.body()
                        : OperatorResponses.requireBody(answer);
        final Optional<JsonNode> document =
                Optional.of(body.path("document")).filter(JsonNode::isObject);
        return new CurrentDocument(body.path("revision").asLong(NO_REVISION), document);
    }

    /**
     * What stands at a path.
     *
     * @param revision the number that a change must name as its base
     * @param document the document in force
     */
    record CurrentDocument(long revision, Optional<JsonNode> document) {}

    /** Sends the change and returns the daemon's answer. */
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
