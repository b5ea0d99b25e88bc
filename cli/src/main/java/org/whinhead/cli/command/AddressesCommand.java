package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.whinhead.cli.CliException;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonClient;

/** Shows the daemon addresses that callers receive and those that are withheld. */
public final class AddressesCommand implements Command {

    private static final List<String> COLUMNS = List.of("uri", "domain", "state");

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        try (DaemonClient client = invocation.daemonClient()) {
            final JsonNode body = OperatorResponses.requireBody(client.get("/operator/addresses"));
            if (console.isJson()) {
                console.json(body);
            } else {
                console.table(JsonTable.columns(body.path("addresses"), COLUMNS));
            }
            return ExitCode.OK;
        }
    }
}
