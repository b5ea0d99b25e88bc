package org.whinhead.settings.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinhead.settings.KeyHashes;
import org.whinhead.settings.json.JsonPaths;

/**
 * Links of a document to other documents, found in its texts regardless of kind and schema number.
 *
 * <p>A text that begins with {@code /} is a reference to another document, and a text that begins
 * with {@code sha256:} may appear in one document only. Both rules hold for every schema number, so
 * that programs of different versions agree on which changes take effect.
 *
 * @param references the references to other documents
 * @param uniqueTexts the texts that no other document may contain
 * @param referenceTargets the texts of {@code references} as a set
 * @param uniqueValues the texts of {@code uniqueTexts} as a set
 */
record DocumentLinks(
        List<Link> references,
        List<Link> uniqueTexts,
        Set<String> referenceTargets,
        Set<String> uniqueValues) {

    private static final String REFERENCE_PREFIX = "/";

    /** Links of a document that has none. */
    static final DocumentLinks NONE = of(List.of(), List.of());

    private static DocumentLinks of(final List<Link> references, final List<Link> uniqueTexts) {
        return new DocumentLinks(
                references, uniqueTexts, textsOf(references), textsOf(uniqueTexts));
    }

    private static Set<String> textsOf(final List<Link> links) {
        return links.stream().map(Link::text).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * A text that links documents.
     *
     * @param location the JSON path of the text
     * @param text the text
     */
    record Link(String location, String text) {}

    /** Finds the links of a document. */
    static DocumentLinks of(final JsonNode document) {
        final List<Link> texts = new ArrayList<>();
        collectTexts(document, JsonPaths.ROOT, texts);
        return of(
                texts.stream().filter(link -> link.text().startsWith(REFERENCE_PREFIX)).toList(),
                texts.stream().filter(link -> link.text().startsWith(KeyHashes.PREFIX)).toList());
    }

    private static void collectTexts(
            final JsonNode node, final String path, final List<Link> texts) {
        if (node.isTextual()) {
            texts.add(new Link(path, node.textValue()));
        }
        for (final Map.Entry<String, JsonNode> field : node.properties()) {
            collectTexts(field.getValue(), JsonPaths.field(path, field.getKey()), texts);
        }
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            collectTexts(node.get(i), JsonPaths.element(path, i), texts);
        }
    }
}
