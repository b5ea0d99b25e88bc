package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.whinhead.cli.CliException;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonClient;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.deployment.DocumentList;
import org.whinhead.settings.json.JsonText;

/**
 * Stores each document of a list in order and skips unchanged ones. The command stops at the first
 * failure and can be run again.
 */
public final class SettingsLoadCommand implements Command {

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        final String file = invocation.arguments().get(0);
        final List<DocumentList.Entry> entries = entries(file);
        SettingsChangeRequest.requireReason(invocation);
        final String changeId = SettingsChangeRequest.resolveChangeId(invocation);
        console.note("put.change", changeId);
        int storedCount = 0;
        try (DaemonClient client = invocation.daemonClient()) {
            for (final DocumentList.Entry entry : entries) {
                storedCount += load(client, invocation, console, changeId, entry) ? 1 : 0;
            }
        }
        console.line("load.done", storedCount, entries.size() - storedCount);
        return ExitCode.OK;
    }

    private static boolean load(
            final DaemonClient client,
            final Invocation invocation,
            final Console console,
            final String changeId,
            final DocumentList.Entry entry)
            throws CliException {
        final String path = entry.path().text();
        final SettingsChangeRequest.CurrentDocument current =
                SettingsChangeRequest.current(client, path);
        final JsonNode document = document(path, entry.text());
        if (current.document().isPresent()
                && document(path, current.document().get().toString()).equals(document)) {
            return false;
        }
        final SettingsChangeRequest change =
                new SettingsChangeRequest(
                        changeId + path, path, current.revision(), Optional.of(document));
        final JsonNode response = change.send(client, invocation);
        console.line("put.done", path, response.path("revision").asText());
        return true;
    }

    private static List<DocumentList.Entry> entries(final String file) throws CliException {
        try {
            return DocumentList.parse(file, Files.readString(Path.of(file)));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "usage.unreadable", file);
        } catch (SettingsException e) {
            throw new CliException(ExitCode.INVALID, "answer.invalid", e.getMessage());
        }
    }

    private static JsonNode document(final String path, final String text) throws CliException {
        try {
            return JsonText.parse(path, text);
        } catch (SettingsException e) {
            throw new CliException(ExitCode.INVALID, "answer.invalid", e.getMessage());
        }
    }
}
