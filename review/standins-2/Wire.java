import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The few parts of HTTP/1.1 that the stand-ins need, on blocking streams. */
final class Wire {

    private Wire() {}

    /** A message's first line and its fields, by names in lower case. */
    record Head(String first, Map<String, String> fields) {
        String field(final String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Reads a line without its end; null at the end of the stream before any byte. */
    static String line(final InputStream in) throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("within a line");
            }
            bytes.write(next);
            next = in.read();
        }
        final String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads a head; null if the stream ends before it. */
    static Head head(final InputStream in) throws IOException {
        String first = line(in);
        while (first != null && first.isEmpty()) {
            first = line(in);
        }
        if (first == null) {
            return null;
        }
        final Map<String, String> fields = new LinkedHashMap<>();
        for (String next = line(in); ; next = line(in)) {
            if (next == null) {
                throw new EOFException("within a head");
            }
            if (next.isEmpty()) {
                return new Head(first, fields);
            }
            final int colon = next.indexOf(':');
            fields.put(
                    next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).strip());
        }
    }

    /** Reads the body of a request, which has a length or chunks. */
    static byte[] requestBody(final InputStream in, final Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            final ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
                body.write(chunk);
            }
            return body.toByteArray();
        }
        final String length = head.field("content-length");
        return length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    /** Reads a chunk; an empty one is the last. */
    static byte[] chunk(final InputStream in) throws IOException {
        final String size = line(in);
        if (size == null) {
            throw new EOFException("before a chunk");
        }
        final byte[] bytes = exactly(in, Integer.parseInt(size.split(";")[0].strip(), 16));
        final String end = line(in);
        if (end == null) {
            throw new EOFException("behind a chunk");
        }
        return bytes;
    }

    static byte[] exactly(final InputStream in, final int count) throws IOException {
        final byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("within a body");
        }
        return bytes;
    }

    static byte[] ascii(final String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
