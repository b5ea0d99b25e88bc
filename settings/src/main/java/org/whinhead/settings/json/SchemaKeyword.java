package org.whinhead.settings.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import java.util.Arrays;
import org.whinhead.settings.SettingsProblem;

/** The schema keywords that the project's schemas use, each with the message of its breach. */
enum SchemaKeyword {
    /** A field is missing; the problem stands at the object that lacks it. */
    REQUIRED("required", "settings.missing-field") {
        @Override
        Object[] arguments(final Error error, final String title) {
            return new Object[] {error.getProperty()};
        }
    },
    /** A field that the schema does not list. */
    ADDITIONAL_PROPERTIES("additionalProperties", "settings.unknown-field") {
        @Override
        Object[] arguments(final Error error, final String title) {
            return new Object[] {error.getProperty()};
        }
    },
    /** A value of another JSON type. */
    TYPE("type", "settings.wrong-type"),
    /** A number below its bound. */
    MINIMUM("minimum", "settings.too-small"),
    /** A number not above its bound. */
    EXCLUSIVE_MINIMUM("exclusiveMinimum", "settings.not-above"),
    /** A number above its bound. */
    MAXIMUM("maximum", "settings.too-large"),
    /** A text that lacks the wanted form, which the schema describes in its title. */
    PATTERN("pattern", "settings.wrong-form") {
        @Override
        Object[] arguments(final Error error, final String title) {
            return new Object[] {shown(error), title};
        }
    },
    /** A value that is not one of the listed ones. */
    ENUM("enum", "settings.not-listed"),
    /** A value other than the only one allowed. */
    CONST("const", "settings.not-constant"),
    /** A list with too few elements. */
    MIN_ITEMS("minItems", "settings.too-few"),
    /** A list with too many elements. */
    MAX_ITEMS("maxItems", "settings.too-many"),
    /** A list that holds an element twice. */
    UNIQUE_ITEMS("uniqueItems", "settings.repeated-element"),
    /** A text that is too short. */
    MIN_LENGTH("minLength", "settings.too-short"),
    /** A text that is too long. */
    MAX_LENGTH("maxLength", "settings.too-long"),
    /** A field of a map whose name lacks the wanted form. */
    PROPERTY_NAMES("propertyNames", "settings.wrong-field-name") {
        @Override
        Object[] arguments(final Error error, final String title) {
            return new Object[] {error.getProperty(), error.getSchemaNode().path("title").asText()};
        }
    },
    /** Any other keyword, named in the message. */
    OTHER("", "settings.other") {
        @Override
        Object[] arguments(final Error error, final String title) {
            return new Object[] {error.getKeyword()};
        }
    };

    private static final String SECRET_FIELD = "keyHash";
    private static final String HIDDEN = "(hidden)";

    private final String mKeyword;
    private final String mMessageKey;

    SchemaKeyword(final String keyword, final String messageKey) {
        mKeyword = keyword;
        mMessageKey = messageKey;
    }

    /**
     * Finds the keyword of a finding.
     *
     * @param keyword the schema's word
     * @return the constant, or {@link #OTHER}
     */
    static SchemaKeyword of(final String keyword) {
        return Arrays.stream(values())
                .filter(candidate -> candidate.mKeyword.equals(keyword))
                .findFirst()
                .orElse(OTHER);
    }

    /**
     * Turns a finding into a problem.
     *
     * @param path the place in the document
     * @param error the finding
     * @param title the title of the broken part of the schema; may be empty
     * @return the problem
     */
    SettingsProblem problem(final String path, final Error error, final String title) {
        return SettingsProblem.of(path, mMessageKey, arguments(error, title));
    }

    /** Returns the values for the message: what was found and what the schema wants. */
    Object[] arguments(final Error error, final String title) {
        return new Object[] {shown(error), text(error.getSchemaNode())};
    }

    /**
     * Returns the found value for people. Guards against a key in clear text, put where its hash
     * belongs, that would show in logs and answers: values under such a field are never printed.
     */
    private static String shown(final Error error) {
        if (error.getInstanceLocation().toString().contains(SECRET_FIELD)) {
            return HIDDEN;
        }
        return text(error.getInstanceNode());
    }

    private static String text(final JsonNode node) {
        if (node == null) {
            return "";
        }
        return node.isTextual() ? node.textValue() : node.toString();
    }
}
