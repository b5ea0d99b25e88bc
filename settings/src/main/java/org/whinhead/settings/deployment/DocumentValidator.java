package org.whinhead.settings.deployment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.json.JsonPaths;

/**
 * Decides whether a change to a document is valid; reads neither clock nor chance.
 *
 * <p>The fold goes by {@link ValidationResult#canTakeEffect}, which looks only at what no schema
 * number changes. The daemon that takes an operator's change goes by {@link
 * ValidationResult#canBePublished} before it appends the change, so that documents on the log fit
 * their schema.
 */
public final class DocumentValidator {

    private DocumentValidator() {}

    /**
     * Checks a change against the documents in force.
     *
     * @param path the document's path as the change names it
     * @param document the new document's JSON text, or empty to delete it
     * @param current the documents in force
     * @return what is wrong, and whether this program knows the document at all
     */
    public static ValidationResult validate(
            final String path, final Optional<String> document, final DeploymentSettings current) {
        if (!DocumentPath.isWellFormed(path)) {
            final SettingsProblem problem =
                    SettingsProblem.of(JsonPaths.ROOT, "settings.bad-path", path);
            return new ValidationResult(List.of(problem), List.of(), true);
        }
        final DocumentPath place = DocumentPath.parse(path);
        if (document.isEmpty()) {
            return new ValidationResult(checkDelete(place, current), List.of(), true);
        }
        final ParsedDocument parsed = ParsedDocument.parse(place, document.get());
        final List<SettingsProblem> fold = new ArrayList<>(parsed.envelopeProblems());
        fold.addAll(checkReferences(parsed, target -> current.document(target).isPresent()));
        fold.addAll(checkUnique(parsed, current));
        return new ValidationResult(fold, parsed.schemaProblems(), parsed.known());
    }

    private static List<SettingsProblem> checkDelete(
            final DocumentPath path, final DeploymentSettings current) {
        if (current.document(path).isEmpty()) {
            return List.of(SettingsProblem.of(JsonPaths.ROOT, "settings.nothing-there", path));
        }
        return current.documents().stream()
                .filter(other -> !other.path().equals(path))
                .filter(other -> other.links().referenceTargets().contains(path.text()))
                .map(
                        other ->
                                SettingsProblem.of(
                                        JsonPaths.ROOT, "settings.in-use", path, other.path()))
                .toList();
    }

    private static List<SettingsProblem> checkReferences(
            final ParsedDocument parsed, final Predicate<DocumentPath> exists) {
        return parsed.links().references().stream()
                .filter(link -> DocumentPath.isWellFormed(link.text()))
                .filter(link -> !exists.test(DocumentPath.parse(link.text())))
                .map(
                        link ->
                                SettingsProblem.of(
                                        link.location(), "settings.no-such-document", link.text()))
                .toList();
    }

    private static List<SettingsProblem> checkUnique(
            final ParsedDocument parsed, final DeploymentSettings current) {
        final Set<String> texts = parsed.links().uniqueValues();
        if (texts.isEmpty()) {
            return List.of();
        }
        final List<SettingsProblem> problems = new ArrayList<>();
        for (final StoredDocument other : current.documents()) {
            if (!other.path().equals(parsed.path())
                    && !Collections.disjoint(other.links().uniqueValues(), texts)) {
                parsed.links().uniqueTexts().stream()
                        .filter(link -> other.links().uniqueValues().contains(link.text()))
                        .map(
                                link ->
                                        SettingsProblem.of(
                                                link.location(),
                                                "settings.key-taken",
                                                other.path()))
                        .forEach(problems::add);
            }
        }
        return problems;
    }
}
