package org.whinhead.settings.json;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.NodePath;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.whinhead.settings.SettingsProblem;

/** One JSON Schema from the program's own files, whose findings are the project's messages. */
public final class DocumentSchema {

    private static final String FOLDER = "/org/whinhead/settings/schema/";
    private static final SchemaRegistry REGISTRY =
            SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);

    private final Schema mSchema;

    private DocumentSchema(final Schema schema) {
        mSchema = schema;
    }

    /**
     * Loads a schema that ships with the program.
     *
     * @param name the file's name, for example {@code daemon-1.json}
     * @return the schema
     */
    public static DocumentSchema load(final String name) {
        try (InputStream stream = DocumentSchema.class.getResourceAsStream(FOLDER + name)) {
            if (stream == null) {
                throw new IllegalArgumentException("no schema file " + name);
            }
            final String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return new DocumentSchema(REGISTRY.getSchema(text, InputFormat.JSON));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Checks a document.
     *
     * @param document the document
     * @return every problem, in a fixed order; empty if the document fits
     */
    public List<SettingsProblem> check(final JsonNode document) {
        final List<SettingsProblem> numbers = NumberRange.check(document);
        final Set<String> places =
                numbers.stream().map(SettingsProblem::path).collect(Collectors.toSet());
        final Stream<SettingsProblem> others =
                mSchema.validate(document).stream()
                        .map(this::problem)
                        .filter(problem -> !places.contains(problem.path()));
        return Stream.concat(numbers.stream(), others).sorted().distinct().toList();
    }

    private SettingsProblem problem(final Error error) {
        return SchemaKeyword.of(error.getKeyword()).problem(place(error), error, title(error));
    }

    private String title(final Error error) {
        final String keyword = error.getSchemaLocation().getFragment().toString();
        final JsonPointer parent = JsonPointer.compile(keyword).head();
        return mSchema.getSchemaNode().at(parent).path("title").asText();
    }

    private static String place(final Error error) {
        final NodePath location = error.getInstanceLocation();
        String path = JsonPaths.ROOT;
        for (int i = 0; i < location.getNameCount(); i++) {
            path = append(path, location.getElement(i));
        }
        return path;
    }

    private static String append(final String path, final Object element) {
        if (element instanceof Integer index) {
            return JsonPaths.element(path, index);
        }
        return JsonPaths.field(path, String.valueOf(element));
    }
}
