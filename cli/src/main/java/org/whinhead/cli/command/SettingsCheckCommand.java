package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.whinhead.cli.CliException;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.daemon.SettingsReader;
import org.whinhead.settings.deployment.DocumentList;
import org.whinhead.settings.json.JsonText;

/**
 * Validates lists of documents and settings files of daemons, without calling a daemon. All lists
 * in a directory given as an argument are validated together, as one deployment.
 */
public final class SettingsCheckCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SUFFIX = ".json";

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        final List<Finding> findings = new ArrayList<>();
        int files = 0;
        for (final String argument : invocation.arguments()) {
            final List<Path> found = files(Path.of(argument));
            files += found.size();
            findings.addAll(check(argument, found));
        }
        print(console, findings, files);
        return findings.isEmpty() ? ExitCode.OK : ExitCode.INVALID;
    }

    private static List<Path> files(final Path argument) throws CliException {
        if (Files.isRegularFile(argument)) {
            return List.of(argument);
        }
        try (Stream<Path> walk = Files.walk(argument)) {
            final List<Path> files =
                    walk.filter(file -> file.toString().endsWith(SUFFIX)).sorted().toList();
            if (!files.isEmpty()) {
                return files;
            }
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "usage.unreadable", argument);
        }
        throw new CliException(ExitCode.USAGE, "usage.no-files", argument);
    }

    private static List<Finding> check(final String argument, final List<Path> files)
            throws CliException {
        final List<Finding> findings = new ArrayList<>();
        final List<DocumentList.Entry> documents = new ArrayList<>();
        for (final Path file : files) {
            try {
                final String text = Files.readString(file);
                if (JsonText.parseAllowingDuplicateKeys(file.toString(), text).isArray()) {
                    documents.addAll(DocumentList.parse(file.toString(), text));
                } else {
                    SettingsReader.parse(file.toString(), text);
                }
            } catch (SettingsException e) {
                e.problems().forEach(problem -> findings.add(new Finding(e.source(), problem)));
            } catch (IOException e) {
                throw new CliException(ExitCode.USAGE, "usage.unreadable", file);
            }
        }
        DocumentList.check(documents)
                .forEach(problem -> findings.add(new Finding(argument, problem)));
        return findings;
    }

    private static void print(
            final Console console, final List<Finding> findings, final int files) {
        if (console.isJson()) {
            final ArrayNode list = MAPPER.createArrayNode();
            findings.forEach(finding -> list.add(finding.toJson()));
            console.json(list);
            return;
        }
        for (final Finding finding : findings) {
            console.line("check.problem", finding.source(), finding.problem());
        }
        console.line(findings.isEmpty() ? "check.good" : "check.bad", files, findings.size());
    }

    /** A problem and the source in which it was found. */
    private record Finding(String source, SettingsProblem problem) {
        private JsonNode toJson() {
            return MAPPER.createObjectNode()
                    .put("source", source)
                    .put("path", problem.path())
                    .put("messageKey", problem.messageKey())
                    .put("message", problem.message());
        }
    }
}
