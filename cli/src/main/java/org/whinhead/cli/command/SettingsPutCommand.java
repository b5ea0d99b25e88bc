package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.whinhead.cli.CliException;
import org.whinhead.cli.CliOption;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonClient;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.json.JsonText;

/** Stores or deletes a document if its current revision is the base revision. */
public final class SettingsPutCommand implements Command {

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        final String path = invocation.arguments().get(0);
        final Optional<JsonNode> document = document(invocation);
        final long wait = invocation.numberOrDefault(CliOption.WAIT);
        SettingsChangeRequest.requireReason(invocation);
        final String changeId = SettingsChangeRequest.resolveChangeId(invocation);
        try (DaemonClient client = invocation.daemonClient()) {
            final SettingsChangeRequest change =
                    new SettingsChangeRequest(
                            changeId, path, base(client, invocation, path), document);
            console.note("put.change", changeId);
            final JsonNode response = change.send(client, invocation);
            if (console.isJson()) {
                console.json(response);
            }
            if (invocation.has(CliOption.DRY_RUN)) {
                console.line("put.dry-run", path);
                return ExitCode.OK;
            }
            final long revision = response.path("revision").asLong();
            console.line("put.done", path, revision);
            return wait > 0 ? await(client, revision, wait, console) : ExitCode.OK;
        }
    }

    private static Optional<JsonNode> document(final Invocation invocation) throws CliException {
        final List<String> arguments = invocation.arguments();
        if (invocation.has(CliOption.DELETE) == (arguments.size() == 2)) {
            throw new CliException(ExitCode.USAGE, "usage.file-or-delete");
        }
        if (arguments.size() == 1) {
            return Optional.empty();
        }
        final String file = arguments.get(1);
        try {
            return Optional.of(JsonText.parse(file, Files.readString(Path.of(file))));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "usage.unreadable", file);
        } catch (SettingsException e) {
            throw new CliException(ExitCode.INVALID, "answer.invalid", e.getMessage());
        }
    }

    private static long base(
            final DaemonClient client, final Invocation invocation, final String path)
            throws CliException {
        final Optional<Long> given = invocation.number(CliOption.BASE);
        if (given.isPresent()) {
            return given.get();
        }
        return SettingsChangeRequest.current(client, path).revision();
    }

    private static ExitCode await(
            final DaemonClient client, final long revision, final long wait, final Console console)
            throws CliException {
        try (InForcePoller poller = new InForcePoller(client)) {
            final JsonNode response = poller.await(revision, Duration.ofSeconds(wait));
            if (console.isJson()) {
                console.json(response);
            }
            final boolean complete = InForcePoller.isComplete(response);
            console.line(
                    complete ? "put.everywhere" : "put.missing",
                    response.path("inForce").size(),
                    response.path("missing"));
            return complete ? ExitCode.OK : ExitCode.REFUSED;
        }
    }
}
