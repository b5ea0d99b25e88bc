package org.whinhead.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Lists the log lines about a request from saved logs of several daemons. Each line is preceded by
 * the state of the configuration and of the endpoint that the daemon had last logged, with its age.
 */
final class RequestTimeline {

    /** The columns of the output. */
    static final List<String> COLUMNS = List.of("at", "daemon", "age", "message", "fields");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The messages that log the state of an endpoint as known to a daemon. */
    private static final Set<String> ENDPOINT_MESSAGES =
            Set.of("endpoint changed", "endpoint entry removed", "endpoint lapsed");

    /** The fields that every line has; all others are inputs of the logged decision. */
    private static final Set<String> STANDARD_FIELDS =
            Set.of("timestamp", "level", "logger", "message");

    /** The field with the inputs in lines of the chat daemon; lines of the gateway are flat. */
    private static final String KEY_VALUE_LIST = "kvpList";

    private static final String CONFIGURATION_MESSAGE = "configuration in force";

    private final List<LogLine> mLines = new ArrayList<>();

    /**
     * Reads a log file. The last word before the JSON of a line is the name of the daemon; if there
     * is none, the file name is used. Lines without JSON are skipped.
     */
    void read(final Path file) throws IOException {
        for (final String text : Files.readAllLines(file)) {
            final int start = text.indexOf('{');
            if (start < 0) {
                continue;
            }
            final String before = text.substring(0, start).strip();
            final String daemon =
                    before.isEmpty()
                            ? file.getFileName().toString()
                            : before.substring(before.lastIndexOf(' ') + 1);
            parse(text.substring(start), daemon).ifPresent(mLines::add);
        }
    }

    private static Optional<LogLine> parse(final String text, final String daemon) {
        final JsonNode json;
        try {
            json = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
        if (!json.path("timestamp").isNumber()) {
            return Optional.empty();
        }
        final Map<String, String> fields = new LinkedHashMap<>();
        if (json.has(KEY_VALUE_LIST)) {
            json.path(KEY_VALUE_LIST).forEach(pair -> putFields(pair, fields));
        } else {
            putFields(json, fields);
        }
        return Optional.of(
                new LogLine(
                        json.path("timestamp").asLong(),
                        daemon,
                        json.path("message").asText(),
                        fields));
    }

    private static void putFields(final JsonNode json, final Map<String, String> fields) {
        json.properties().stream()
                .filter(field -> !STANDARD_FIELDS.contains(field.getKey()))
                .forEach(field -> fields.put(field.getKey(), field.getValue().asText()));
    }

    /** Returns the lines about a request in order of time, each preceded by the known state. */
    ArrayNode linesFor(final String request) {
        final ArrayNode timeline = JsonNodeFactory.instance.arrayNode();
        final Set<LogLine> shown = new HashSet<>();
        mLines.stream()
                .filter(line -> request.equals(line.fields().get("request")))
                .sorted(Comparator.comparingLong(LogLine::at))
                .forEach(line -> addWithState(line, shown, timeline));
        return timeline;
    }

    private void addWithState(
            final LogLine line, final Set<LogLine> shown, final ArrayNode timeline) {
        final Predicate<LogLine> configuration =
                other -> other.message().equals(CONFIGURATION_MESSAGE);
        lastBefore(line, configuration)
                .filter(shown::add)
                .ifPresent(state -> add(state, line, timeline));
        final String endpoint = line.fields().get("endpoint");
        final Predicate<LogLine> ofEndpoint =
                other ->
                        ENDPOINT_MESSAGES.contains(other.message())
                                && other.fields().get("endpoint").equals(endpoint);
        if (endpoint != null) {
            lastBefore(line, ofEndpoint)
                    .filter(shown::add)
                    .ifPresent(state -> add(state, line, timeline));
        }
        add(line, line, timeline);
    }

    /** Returns the last line of a kind that the same daemon logged up to the time of a line. */
    private Optional<LogLine> lastBefore(final LogLine line, final Predicate<LogLine> kind) {
        return mLines.stream()
                .filter(other -> other.daemon().equals(line.daemon()))
                .filter(other -> other.at() <= line.at())
                .filter(kind)
                .max(Comparator.comparingLong(LogLine::at));
    }

    private static void add(final LogLine shown, final LogLine decision, final ArrayNode timeline) {
        final String fields =
                shown.fields().entrySet().stream()
                        .filter(field -> !field.getKey().equals("request"))
                        .map(field -> field.getKey() + "=" + field.getValue())
                        .collect(Collectors.joining(" "));
        timeline.addObject()
                .put("at", Instant.ofEpochMilli(shown.at()).toString())
                .put("daemon", shown.daemon())
                .put("age", shown == decision ? "" : (decision.at() - shown.at()) + "ms")
                .put("message", shown.message())
                .put("fields", fields);
    }

    private record LogLine(long at, String daemon, String message, Map<String, String> fields) {}
}
