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
 * What ties a document to others, read from its texts alone, whatever its kind and schema number.
 *
 * <p>A text that begins with {@code /} is a reference to another document, and a text that begins
 * with {@code sha256:} may stand in one document only. The two rules hold for every schema number,
 * so that programs of different versions decide alike which changes take effect.
 *
 * @param references each reference
 * @param uniqueTexts each text that no other document may hold
 * @param targets the texts of the references
 * @param unique the texts that no other document may hold
 */
record DocumentLinks(
        List<Link> references,
        List<Link> uniqueTexts,
        Set<String> referenceTargets,
        Set<String> uniqueValues) {

    private static final String REFERENCE_START = "/";

    /** A document without links. */
    static final DocumentLinks NONE = of(List.of(), List.of());

    private static DocumentLinks of(final List<Link> references, final List<Link> uniqueTexts) {
        return new DocumentLinks(
                references, uniqueTexts, textsOf(references), textsOf(uniqueTexts));
    }

    private static Set<String> textsOf(final List<Link> links) {
        return links.stream().map(Link::text).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * One text that ties.
     *
     * @param place where it stands, as a JSON path
     * @param text the text
     */
    record Link(String location, String text) {}

    /** Reads the links of a document. */
    static DocumentLinks of(final JsonNode document) {
        final List<Link> texts = new ArrayList<>();
        collect(document, JsonPaths.ROOT, texts);
        return of(
                texts.stream().filter(link -> link.text().startsWith(REFERENCE_START)).toList(),
                texts.stream().filter(link -> link.text().startsWith(KeyHashes.PREFIX)).toList());
    }

    private static void collect(final JsonNode node, final String place, final List<Link> texts) {
        if (node.isTextual()) {
            texts.add(new Link(place, node.textValue()));
        }
        for (final Map.Entry<String, JsonNode> field : node.properties()) {
            collect(field.getValue(), JsonPaths.field(place, field.getKey()), texts);
        }
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            collect(node.get(i), JsonPaths.element(place, i), texts);
        }
    }
}
