package org.whinhead.state.record;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Function;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.VmId;

/** The JSON format of the values in records and checkpoints. */
public final class JsonMapping {

    private JsonMapping() {}

    /**
     * Creates a mapper that writes identities as text, times in ISO-8601 and durations in
     * milliseconds. The mapper skips unknown fields, so that two program versions can read each
     * other's output.
     */
    public static ObjectMapper createMapper() {
        final SimpleModule module = new SimpleModule();
        addText(module, DaemonId.class, DaemonId::value, DaemonId::new);
        addText(module, VmId.class, VmId::value, VmId::new);
        addText(module, CustomerId.class, CustomerId::value, CustomerId::new);
        addText(module, Instant.class, Instant::toString, Instant::parse);
        addText(module, ClaimEntry.class, ClaimEntry::toText, ClaimEntry::parse);
        module.addSerializer(Duration.class, new DurationSerializer());
        module.addDeserializer(Duration.class, new DurationDeserializer());
        module.addSerializer(Optional.class, new OptionalSerializer());
        module.addDeserializer(Optional.class, new OptionalTextDeserializer());
        return JsonMapper.builder()
                .addModule(module)
                .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
    }

    private static <T> void addText(
            final SimpleModule module,
            final Class<T> type,
            final Function<T, String> write,
            final Function<String, T> read) {
        module.addSerializer(type, new TextSerializer<>(write));
        module.addDeserializer(type, new TextDeserializer<>(read));
    }

    private static final class TextSerializer<T> extends JsonSerializer<T> {
        private final Function<T, String> mWrite;

        TextSerializer(final Function<T, String> write) {
            mWrite = write;
        }

        @Override
        public void serialize(
                final T value, final JsonGenerator out, final SerializerProvider provider)
                throws IOException {
            out.writeString(mWrite.apply(value));
        }
    }

    private static final class TextDeserializer<T> extends JsonDeserializer<T> {
        private final Function<String, T> mRead;

        TextDeserializer(final Function<String, T> read) {
            mRead = read;
        }

        @Override
        public T deserialize(final JsonParser in, final DeserializationContext context)
                throws IOException {
            try {
                return mRead.apply(in.getText());
            } catch (final RuntimeException e) {
                throw context.weirdStringException(in.getText(), Object.class, e.getMessage());
            }
        }
    }

    private static final class DurationSerializer extends JsonSerializer<Duration> {
        @Override
        public void serialize(
                final Duration value, final JsonGenerator out, final SerializerProvider provider)
                throws IOException {
            out.writeNumber(value.toMillis());
        }
    }

    private static final class DurationDeserializer extends JsonDeserializer<Duration> {
        @Override
        public Duration deserialize(final JsonParser in, final DeserializationContext context)
                throws IOException {
            return Duration.ofMillis(in.getLongValue());
        }
    }

    @SuppressWarnings("rawtypes")
    private static final class OptionalSerializer extends JsonSerializer<Optional> {
        @Override
        public void serialize(
                final Optional value, final JsonGenerator out, final SerializerProvider provider)
                throws IOException {
            if (value.isPresent()) {
                out.writeString((String) value.get());
            } else {
                out.writeNull();
            }
        }
    }

    @SuppressWarnings("rawtypes")
    private static final class OptionalTextDeserializer extends JsonDeserializer<Optional> {
        @Override
        public Optional deserialize(final JsonParser in, final DeserializationContext context)
                throws IOException {
            return Optional.of(in.getText());
        }

        @Override
        public Optional getNullValue(final DeserializationContext context) {
            return Optional.empty();
        }

        @Override
        public Optional getAbsentValue(final DeserializationContext context) {
            return Optional.empty();
        }
    }
}
