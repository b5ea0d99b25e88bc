package org.whinhead.settings.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.SettingsProblem;

/** Parses JSON text strictly: rejects duplicate keys and content after the document. */
public final class JsonText {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
                    .build();

    private JsonText() {}

    /**
     * Parses a text and rejects duplicate keys.
     *
     * @param source the file or path that the text comes from, for the error
     * @param text the text
     * @return the document
     * @throws SettingsException if the text is not JSON or has a duplicate key
     */
    public static JsonNode parse(final String source, final String text) throws SettingsException {
        final JsonNode document = parseAllowingDuplicateKeys(source, text);
        final List<SettingsProblem> problems = findDuplicateKeys(text);
        if (!problems.isEmpty()) {
            throw new SettingsException(source, problems);
        }
        return document;
    }

    /**
     * Parses a text without a check for duplicate keys; the last value of a duplicate key is used.
     *
     * @param source the file or path that the text comes from, for the error
     * @param text the text
     * @return the document
     * @throws SettingsException if the text is not JSON
     */
    public static JsonNode parseAllowingDuplicateKeys(final String source, final String text)
            throws SettingsException {
        try {
            final JsonNode document = MAPPER.readTree(text);
            if (document.isMissingNode()) {
                throw new SettingsException(
                        source, List.of(SettingsProblem.of(JsonPaths.ROOT, "settings.empty")));
            }
            return document;
        } catch (JsonProcessingException e) {
            throw new SettingsException(source, List.of(syntaxProblem(e)));
        }
    }

    /**
     * Finds every key that appears more than once in one object.
     *
     * @param text a text that parses as JSON
     * @return one problem for each repetition, in the order of the text
     */
    public static List<SettingsProblem> findDuplicateKeys(final String text) {
        final List<SettingsProblem> problems = new ArrayList<>();
        try (JsonParser parser = MAPPER.createParser(text)) {
            parser.nextToken();
            scan(parser, JsonPaths.ROOT, problems);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return problems;
    }

    private static void scan(
            final JsonParser parser, final String path, final List<SettingsProblem> problems)
            throws IOException {
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            scanObject(parser, path, problems);
        } else if (parser.currentToken() == JsonToken.START_ARRAY) {
            scanArray(parser, path, problems);
        }
    }

    private static void scanObject(
            final JsonParser parser, final String path, final List<SettingsProblem> problems)
            throws IOException {
        final Set<String> seenKeys = new HashSet<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            final String fieldPath = JsonPaths.field(path, parser.currentName());
            if (!seenKeys.add(parser.currentName())) {
                problems.add(
                        SettingsProblem.of(
                                fieldPath, "settings.duplicate-key", parser.currentName()));
            }
            parser.nextToken();
            scan(parser, fieldPath, problems);
        }
    }

    private static void scanArray(
            final JsonParser parser, final String path, final List<SettingsProblem> problems)
            throws IOException {
        int index = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            scan(parser, JsonPaths.element(path, index), problems);
            index++;
        }
    }

    private static SettingsProblem syntaxProblem(final JsonProcessingException e) {
        return SettingsProblem.of(
                JsonPaths.ROOT,
                "settings.not-json",
                e.getOriginalMessage(),
                e.getLocation() == null ? 0 : e.getLocation().getLineNr(),
                e.getLocation() == null ? 0 : e.getLocation().getColumnNr());
    }
}
