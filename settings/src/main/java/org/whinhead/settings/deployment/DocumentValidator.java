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
 * Validates changes to documents deterministically, without clock or random numbers.
 *
 * <p>The fold of the log applies a change if {@link ValidationResult#canTakeEffect} returns true;
 * that check uses only rules that hold for every schema number. The daemon that receives an
 * operator's change appends it to the log only if {@link ValidationResult#canBePublished} returns
 * true, so that documents on the log match their schema.
 */
public final class DocumentValidator {

    private DocumentValidator() {}

    /**
     * Checks a change against the documents in force.
     *
     * @param path the document's path as the change names it
     * @param document the new document's JSON text, or empty to delete it
     * @param current the documents in force
     * @return the problems, and whether this program knows the document's kind and schema number
     */
    public static ValidationResult validate(
            final String path, final Optional<String> document, final DeploymentSettings current) {
        if (!DocumentPath.isWellFormed(path)) {
            final SettingsProblem problem =
                    SettingsProblem.of(JsonPaths.ROOT, "settings.bad-path", path);
            return new ValidationResult(List.of(problem), List.of(), true);
        }
        final DocumentPath documentPath = DocumentPath.parse(path);
        if (document.isEmpty()) {
            return new ValidationResult(checkDeletion(documentPath, current), List.of(), true);
        }
        final ParsedDocument parsed = ParsedDocument.parse(documentPath, document.get());
        final List<SettingsProblem> foldProblems = new ArrayList<>(parsed.envelopeProblems());
        foldProblems.addAll(
                checkReferences(parsed, target -> current.document(target).isPresent()));
        foldProblems.addAll(checkUniqueTexts(parsed, current));
        return new ValidationResult(foldProblems, parsed.schemaProblems(), parsed.known());
    }

    private static List<SettingsProblem> checkDeletion(
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

    private static List<SettingsProblem> checkUniqueTexts(
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
