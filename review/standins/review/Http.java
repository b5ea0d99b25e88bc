package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
public final class Http {
    private Http() {}

    /** The first line and the header fields of a message; names in lower case. */
    public record Head(String line, Map<String, String> fields) {
        public String field(final String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        public String path() {
            return line.split(" ")[1];
        }

        public int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Reads a head; null at the end of the stream before its first byte. */
    public static Head readHead(final InputStream in) throws IOException {
        final String first = readLine(in);
        if (first == null) {
            return null;
        }
        final Map<String, String> fields = new LinkedHashMap<>();
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            final int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
            line = readLine(in);
        }
        if (line == null) {
            throw new EOFException("end within a head");
        }
        return new Head(first, fields);
    }

    private static String readLine(final InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("end within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body by its length or its chunks; throws if it ends early. */
    public static byte[] readBody(final InputStream in, final Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            final ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                final String line = readLine(in);
                if (line == null) {
                    throw new EOFException("end before the last chunk");
                }
                final int length = Integer.parseInt(line.split(";")[0].strip(), 16);
                if (length == 0) {
                    String trailer = readLine(in);
                    while (trailer != null && !trailer.isEmpty()) {
                        trailer = readLine(in);
                    }
                    return body.toByteArray();
                }
                body.write(readExactly(in, length));
                readLine(in);
            }
        }
        final String length = head.field("Content-Length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    public static byte[] readExactly(final InputStream in, final int length) throws IOException {
        final byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException(bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    public static byte[] text(final String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
