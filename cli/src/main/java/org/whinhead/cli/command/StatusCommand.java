package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.whinhead.cli.CliException;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonClient;

/** Shows the status of a daemon; exits with 1 if the daemon reports that it is not able. */
public final class StatusCommand implements Command {

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        try (DaemonClient client = invocation.daemonClient()) {
            final JsonNode status = OperatorResponses.requireBody(client.get("/operator/status"));
            if (console.isJson()) {
                console.json(status);
            } else {
                console.table(JsonTable.pairs(status));
            }
            return status.path("able").asBoolean(true) ? ExitCode.OK : ExitCode.REFUSED;
        }
    }
}
