package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.whinhead.cli.CliException;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonClient;

/** Shows the decisions that were made about a request or an order. */
public final class ExplainCommand implements Command {

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        final String id = invocation.arguments().get(0);
        try (DaemonClient client = invocation.client()) {
            final String target = "/operator/explain?id=" + Answers.query(id);
            final JsonNode body = Answers.body(client.get(target));
            if (console.isJson()) {
                console.json(body);
            } else {
                console.table(JsonRows.pairs(body));
            }
            return ExitCode.OK;
        }
    }
}
