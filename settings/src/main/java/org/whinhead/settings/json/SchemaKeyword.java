package org.whinhead.settings.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import java.util.Arrays;
import org.whinhead.settings.SettingsProblem;

/** Schema keywords used in the project's schemas, each with the message key for its violation. */
enum SchemaKeyword {
    /** A missing field; the path of the problem is that of the object that lacks it. */
    REQUIRED("required", "settings.missing-field") {
        @Override
        Object[] messageArguments(final Error error, final String title) {
            return new Object[] {error.getProperty()};
        }
    },
    /** A field that the schema does not list. */
    ADDITIONAL_PROPERTIES("additionalProperties", "settings.unknown-field") {
        @Override
        Object[] messageArguments(final Error error, final String title) {
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
    /** A text that does not match the pattern, which the title in the schema describes. */
    PATTERN("pattern", "settings.wrong-form") {
        @Override
        Object[] messageArguments(final Error error, final String title) {
            return new Object[] {displayedValue(error), title};
        }
    },
    /** A value that is not one of the allowed values. */
    ENUM("enum", "settings.not-listed"),
    /** A value other than the only allowed value. */
    CONST("const", "settings.not-constant"),
    /** A list with too few elements. */
    MIN_ITEMS("minItems", "settings.too-few"),
    /** A list with too many elements. */
    MAX_ITEMS("maxItems", "settings.too-many"),
    /** A list with a duplicate element. */
    UNIQUE_ITEMS("uniqueItems", "settings.repeated-element"),
    /** A text that is too short. */
    MIN_LENGTH("minLength", "settings.too-short"),
    /** A text that is too long. */
    MAX_LENGTH("maxLength", "settings.too-long"),
    /** A map key that does not match the pattern, which the title in the schema describes. */
    PROPERTY_NAMES("propertyNames", "settings.wrong-field-name") {
        @Override
        Object[] messageArguments(final Error error, final String title) {
            return new Object[] {error.getProperty(), error.getSchemaNode().path("title").asText()};
        }
    },
    /** Any other keyword, named in the message. */
    OTHER("", "settings.other") {
        @Override
        Object[] messageArguments(final Error error, final String title) {
            return new Object[] {error.getKeyword()};
        }
    };

    private static final String SECRET_FIELD_PREFIX = "keyHash";
    private static final String HIDDEN_VALUE = "(hidden)";

    private final String mKeyword;
    private final String mMessageKey;

    SchemaKeyword(final String keyword, final String messageKey) {
        mKeyword = keyword;
        mMessageKey = messageKey;
    }

    /**
     * Returns the constant for the keyword of a schema.
     *
     * @param keyword the keyword in the schema
     * @return the constant, or {@link #OTHER} if the keyword is not listed
     */
    static SchemaKeyword of(final String keyword) {
        return Arrays.stream(values())
                .filter(candidate -> candidate.mKeyword.equals(keyword))
                .findFirst()
                .orElse(OTHER);
    }

    /**
     * Converts a schema violation into a problem.
     *
     * @param path the JSON path of the problem
     * @param error the violation found by the schema validator
     * @param title the title of the violated part of the schema; may be empty
     * @return the problem
     */
    SettingsProblem toProblem(final String path, final Error error, final String title) {
        return SettingsProblem.of(path, mMessageKey, messageArguments(error, title));
    }

    /** Returns the values for the message: the value found and the value required by the schema. */
    Object[] messageArguments(final Error error, final String title) {
        return new Object[] {displayedValue(error), text(error.getSchemaNode())};
    }

    /**
     * Returns the value found, or a placeholder if its field holds key hashes. An operator may put
     * a key in clear text where its hash belongs; the key must not appear in logs and responses.
     */
    private static String displayedValue(final Error error) {
        if (error.getInstanceLocation().toString().contains(SECRET_FIELD_PREFIX)) {
            return HIDDEN_VALUE;
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
