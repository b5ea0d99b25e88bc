package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.whinhead.cli.CliException;
import org.whinhead.cli.CliOption;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonClient;

/** Lists the revisions of a path, with author, time and reason, newest first. */
public final class SettingsHistoryCommand implements Command {

    private static final List<String> COLUMNS =
            List.of("revision", "at", "author", "reason", "document");

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        final String path = invocation.arguments().get(0);
        final long max = invocation.numberOrDefault(CliOption.MAX);
        try (DaemonClient client = invocation.daemonClient()) {
            final String target =
                    "/operator/settings/history?path="
                            + OperatorResponses.encodeQuery(path)
                            + "&max="
                            + max;
            final JsonNode body = OperatorResponses.requireBody(client.get(target));
            if (console.isJson()) {
                console.json(body);
            } else {
                console.table(JsonTable.columns(body.path("revisions"), COLUMNS));
            }
            return ExitCode.OK;
        }
    }
}
