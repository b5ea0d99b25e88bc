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
     * One document in the list.
     *
     * @param path the path of the document
     * @param text the document's JSON text
     */
    public record Entry(DocumentPath path, String text) {}

    /**
     * Parses a list without validating the documents in it.
     *
     * @param source the name of the text in errors
     * @param text the text
     * @return the entries, in the order of the file
     * @throws SettingsException if the text is not such a list
     */
    public static List<Entry> parse(final String source, final String text)
            throws SettingsException {
        final JsonNode list = JsonText.parse(source, text);
        if (!list.isArray()) {
            throw new SettingsException(source, notListProblem(JsonPaths.ROOT));
        }
        final List<Entry> entries = new ArrayList<>();
        final List<SettingsProblem> problems = new ArrayList<>();
        final Set<String> seenPaths = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            final String entryPath = JsonPaths.element(JsonPaths.ROOT, i);
            final JsonNode entry = list.get(i);
            problems.addAll(checkEntry(entryPath, entry, seenPaths));
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
            final String entryPath, final JsonNode entry, final Set<String> seenPaths) {
        if (entry.size() != ENTRY_FIELDS
                || !entry.path(PATH).isTextual()
                || !entry.path(DOCUMENT).isObject()) {
            return notListProblem(entryPath);
        }
        final String path = entry.get(PATH).textValue();
        if (!DocumentPath.isWellFormed(path)) {
            return List.of(
                    SettingsProblem.of(
                            JsonPaths.field(entryPath, PATH), "settings.bad-path", path));
        }
        if (!seenPaths.add(path)) {
            return List.of(
                    SettingsProblem.of(
                            JsonPaths.field(entryPath, PATH), "settings.repeated-path", path));
        }
        return List.of();
    }

    private static List<SettingsProblem> notListProblem(final String entryPath) {
        return List.of(SettingsProblem.of(entryPath, "settings.not-list"));
    }

    /**
     * Validates documents together: each against its schema, and all links among them.
     *
     * @param entries the documents
     * @return every problem, with the document's path before the JSON path
     */
    public static List<SettingsProblem> check(final List<Entry> entries) {
        final List<StoredDocument> stored =
                entries.stream()
                        .map(entry -> new StoredDocument(entry.path(), entry.text(), 0))
                        .toList();
        final DeploymentSettings allDocuments = DeploymentSettings.of(stored);
        final List<SettingsProblem> problems = new ArrayList<>();
        for (final Entry entry : entries) {
            final String path = entry.path().text();
            final ValidationResult validation =
                    DocumentValidator.validate(path, Optional.of(entry.text()), allDocuments);
            validation.problems().forEach(problem -> problems.add(prefixPath(path, problem)));
            if (!validation.known()) {
                problems.add(SettingsProblem.of(path, "settings.not-known", path));
            }
        }
        return problems;
    }

    private static SettingsProblem prefixPath(final String path, final SettingsProblem problem) {
        return new SettingsProblem(
                path + " " + problem.path(), problem.messageKey(), problem.message());
    }
}
