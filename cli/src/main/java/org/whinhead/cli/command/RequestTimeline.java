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
 * Tells what became of a request from the lines that daemons have logged: its own, and for each of
 * them what the daemon believed then of the endpoint and the configuration, with its age.
 */
final class RequestTimeline {

    /** What is shown of a line. */
    static final List<String> COLUMNS = List.of("at", "daemon", "age", "message", "fields");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Lines that tell what a daemon believes of an endpoint. */
    private static final Set<String> ENDPOINT_MESSAGES =
            Set.of("endpoint changed", "endpoint entry removed", "endpoint lapsed");

    /** Fields that every line has; all others are inputs of its decision. */
    private static final Set<String> STANDARD_FIELDS =
            Set.of("timestamp", "level", "logger", "message");

    /** Where the daemon of the chat interface lists its inputs; the gateway's lines are flat. */
    private static final String KEY_VALUE_LIST = "kvpList";

    private static final String CONFIGURATION_MESSAGE = "configuration in force";

    private final List<LogLine> mLines = new ArrayList<>();

    /**
     * Reads a log. What stands before a line's JSON names the daemon, by its last word; without it
     * the file's name does. Lines that are no JSON are passed over.
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

    /** Lists the lines about a request in order of time, each preceded by what it went by. */
    ArrayNode linesFor(final String request) {
        final ArrayNode story = JsonNodeFactory.instance.arrayNode();
        final Set<LogLine> told = new HashSet<>();
        mLines.stream()
                .filter(line -> request.equals(line.fields().get("request")))
                .sorted(Comparator.comparingLong(LogLine::at))
                .forEach(line -> addWithState(line, told, story));
        return story;
    }

    private void addWithState(final LogLine line, final Set<LogLine> told, final ArrayNode story) {
        final Predicate<LogLine> configuration =
                other -> other.message().equals(CONFIGURATION_MESSAGE);
        lastBefore(line, configuration).filter(told::add).ifPresent(b -> add(b, line, story));
        final String endpoint = line.fields().get("endpoint");
        final Predicate<LogLine> ofEndpoint =
                other ->
                        ENDPOINT_MESSAGES.contains(other.message())
                                && other.fields().get("endpoint").equals(endpoint);
        if (endpoint != null) {
            lastBefore(line, ofEndpoint).filter(told::add).ifPresent(b -> add(b, line, story));
        }
        add(line, line, story);
    }

    /** Finds the last line before another one of the same daemon. */
    private Optional<LogLine> lastBefore(final LogLine line, final Predicate<LogLine> kind) {
        return mLines.stream()
                .filter(other -> other.daemon().equals(line.daemon()))
                .filter(other -> other.at() <= line.at())
                .filter(kind)
                .max(Comparator.comparingLong(LogLine::at));
    }

    private static void add(final LogLine shown, final LogLine seenAt, final ArrayNode story) {
        final String fields =
                shown.fields().entrySet().stream()
                        .filter(field -> !field.getKey().equals("request"))
                        .map(field -> field.getKey() + "=" + field.getValue())
                        .collect(Collectors.joining(" "));
        story.addObject()
                .put("at", Instant.ofEpochMilli(shown.at()).toString())
                .put("daemon", shown.daemon())
                .put("age", shown == seenAt ? "" : (seenAt.at() - shown.at()) + "ms")
                .put("message", shown.message())
                .put("fields", fields);
    }

    private record LogLine(long at, String daemon, String message, Map<String, String> fields) {}
}
