package org.whinhead.settings.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.json.JsonPaths;
import org.whinhead.settings.json.JsonText;

/** Reads and checks a file that lists documents as {@code [{"path": ..., "document": ...}]}. */
public final class DocumentList {

    private static final String PATH = "path";
    private static final String DOCUMENT = "document";
    private static final int ENTRY_FIELDS = 2;

    private DocumentList() {}

    /**
     * One entry of a list.
     *
     * @param path where the document is to stand
     * @param text the document's JSON text
     */
    public record Entry(DocumentPath path, String text) {}

    /**
     * Reads a list without checking the documents themselves.
     *
     * @param source what the text is called in errors
     * @param text the text
     * @return the entries, in the order of the file
     * @throws SettingsException if the text is no such list
     */
    public static List<Entry> parse(final String source, final String text)
            throws SettingsException {
        final JsonNode list = JsonText.parse(source, text);
        if (!list.isArray()) {
            throw new SettingsException(source, notList(JsonPaths.ROOT));
        }
        final List<Entry> entries = new ArrayList<>();
        final List<SettingsProblem> problems = new ArrayList<>();
        final Set<String> seen = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            final String place = JsonPaths.element(JsonPaths.ROOT, i);
            final JsonNode entry = list.get(i);
            problems.addAll(checkEntry(place, entry, seen));
            if (problems.isEmpty()) {
                entries.add(
                        new Entry(
                                DocumentPath.parse(entry.get(PATH).textValue()),
                                entry.get(DOCUMENT).toString()));
            }
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(source, problems);
        }
        return entries;
    }

    private static List<SettingsProblem> checkEntry(
            final String place, final JsonNode entry, final Set<String> seen) {
        if (entry.size() != ENTRY_FIELDS
                || !entry.path(PATH).isTextual()
                || !entry.path(DOCUMENT).isObject()) {
            return notList(place);
        }
        final String path = entry.get(PATH).textValue();
        if (!DocumentPath.isWellFormed(path)) {
            return List.of(
                    SettingsProblem.of(JsonPaths.field(place, PATH), "settings.bad-path", path));
        }
        if (!seen.add(path)) {
            return List.of(
                    SettingsProblem.of(
                            JsonPaths.field(place, PATH), "settings.repeated-path", path));
        }
        return List.of();
    }

    private static List<SettingsProblem> notList(final String place) {
        return List.of(SettingsProblem.of(place, "settings.not-list"));
    }

    /**
     * Checks documents as a whole: each against its schema, and all links among them.
     *
     * @param entries the documents
     * @return every problem, its place being the document's path and the JSON path inside it
     */
    public static List<SettingsProblem> check(final List<Entry> entries) {
        final List<StoredDocument> stored =
                entries.stream()
                        .map(entry -> new StoredDocument(entry.path(), entry.text(), 0))
                        .toList();
        final DeploymentSettings whole = DeploymentSettings.of(stored);
        final List<SettingsProblem> problems = new ArrayList<>();
        for (final Entry entry : entries) {
            final String path = entry.path().text();
            final ValidationResult validation =
                    DocumentValidator.validate(path, Optional.of(entry.text()), whole);
            validation.problems().forEach(problem -> problems.add(below(path, problem)));
            if (!validation.known()) {
                problems.add(SettingsProblem.of(path, "settings.not-known", path));
            }
        }
        return problems;
    }

    private static SettingsProblem below(final String path, final SettingsProblem problem) {
        return new SettingsProblem(
                path + " " + problem.path(), problem.messageKey(), problem.message());
    }
}
