package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.whinhead.cli.CliException;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonClient;

/** Shows the document at a path, or lists the documents below a path that ends in a slash. */
public final class SettingsGetCommand implements Command {

    private static final List<String> COLUMNS =
            List.of("path", "revision", "author", "at", "reason");

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        final String path = invocation.arguments().get(0);
        try (DaemonClient client = invocation.daemonClient()) {
            final String target = "/operator/settings?path=" + OperatorResponses.encodeQuery(path);
            final JsonNode body = OperatorResponses.requireBody(client.get(target));
            if (console.isJson()) {
                console.json(body);
            } else if (body.isArray()) {
                console.table(JsonTable.columns(body, COLUMNS));
            } else {
                console.line(
                        "get.head",
                        path,
                        body.path("revision").asText(),
                        body.path("author").asText(),
                        body.path("at").asText(),
                        body.path("reason").asText());
                console.json(body.path("document"));
            }
            return ExitCode.OK;
        }
    }
}
