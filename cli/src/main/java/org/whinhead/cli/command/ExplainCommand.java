package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.whinhead.cli.CliException;
import org.whinhead.cli.CliMessages;
import org.whinhead.cli.CliOption;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonResult;
import org.whinhead.cli.http.FleetAddresses;
import org.whinhead.cli.http.FleetClient;

/**
 * Shows the decisions of all daemons about a request or an order, in order of time. A moved request
 * has decisions on several daemons. Saved logs are read instead, if given.
 */
public final class ExplainCommand implements Command {

    private static final int NOT_FOUND = 404;
    private static final List<String> COLUMNS =
            List.of("at", "daemon", "attempt", "kind", "endpoint", "cause");

    private final List<ObjectNode> mDecisions = new ArrayList<>();
    private final List<String> mMissing = new ArrayList<>();

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        final String id = invocation.arguments().get(0);
        if (invocation.has(CliOption.LOGS)) {
            return explainLogs(id, invocation.text(CliOption.LOGS).orElseThrow(), console);
        }
        try (FleetClient client = invocation.fleetClient()) {
            final FleetAddresses addresses =
                    new FleetAddresses(
                            client.named(), OperatorResponses.requireBody(client.addresses()));
            client.get(
                    addresses.targets(),
                    "/operator/explain?id=" + OperatorResponses.encodeQuery(id),
                    this::add);
            addresses
                    .hostsWithUnknownDaemons()
                    .forEach(host -> mMissing.add(CliMessages.text("explain.not-known", host)));
        }
        mDecisions.sort(Comparator.comparing(decision -> decision.path("at").asText()));
        Collections.sort(mMissing);
        mMissing.forEach(missing -> console.note("report.missing", missing));
        if (mDecisions.isEmpty()) {
            throw new CliException(ExitCode.REFUSED, "explain.nothing", id);
        }
        show(id, console);
        return mMissing.isEmpty() ? ExitCode.OK : ExitCode.REFUSED;
    }

    private static ExitCode explainLogs(final String id, final String files, final Console console)
            throws CliException {
        final RequestTimeline timeline = new RequestTimeline();
        for (final String file : files.split(",")) {
            try {
                timeline.read(Path.of(file));
            } catch (IOException e) {
                throw new CliException(ExitCode.USAGE, "usage.unreadable", file);
            }
        }
        final ArrayNode lines = timeline.linesFor(id);
        if (lines.isEmpty()) {
            throw new CliException(ExitCode.REFUSED, "explain.not-logged", id);
        }
        if (console.isJson()) {
            console.json(JsonNodeFactory.instance.objectNode().put("id", id).set("lines", lines));
        } else {
            console.table(JsonTable.columns(lines, RequestTimeline.COLUMNS));
        }
        return ExitCode.OK;
    }

    private void add(final DaemonResult result) {
        if (result.response().isPresent() && result.response().get().isOk()) {
            for (final JsonNode decision : result.response().get().body().path("decisions")) {
                final ObjectNode copy = decision.deepCopy();
                mDecisions.add(copy.put("daemon", result.daemon().toString()));
            }
        } else if (result.response().isEmpty() || result.response().get().status() != NOT_FOUND) {
            mMissing.add(result.problem());
        }
    }

    private void show(final String id, final Console console) {
        final ObjectNode root = JsonNodeFactory.instance.objectNode().put("id", id);
        final ArrayNode decisions = root.putArray("decisions").addAll(mDecisions);
        if (console.isJson()) {
            mMissing.forEach(root.putArray("missing")::add);
            console.json(root);
        } else {
            console.table(JsonTable.columns(decisions, COLUMNS));
        }
    }
}
