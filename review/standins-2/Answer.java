import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One request of a consumer and what it was answered. */
final class Answer {

    final String id;
    int status;
    boolean complete;
    String end = "";
    String stamp = "";
    final StringBuilder body = new StringBuilder();

    private long mSentAt = System.nanoTime();
    private long mEndedAt;

    private Answer(final String id) {
        this.id = id;
    }

    /** Sends a request on a channel of its own and reads the answer to its end. */
    static Answer call(
            final String front,
            final String id,
            final String ask,
            final String path,
            final String... fields) {
        final Answer answer = new Answer(id);
        final String[] address = front.split(":");
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(30_000);
            final OutputStream out = socket.getOutputStream();
            final StringBuilder head = new StringBuilder();
            head.append("POST ").append(path).append(" HTTP/1.1\r\nHost: desk.example\r\n");
            head.append("Attempt-Id: ").append(id).append("\r\n");
            for (final String field : fields) {
                head.append(field).append("\r\n");
            }
            final String body = "{\"ask\":\"" + ask + "\"}";
            head.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
            out.write(Wire.ascii(head.toString()));
            out.flush();
            answer.mSentAt = System.nanoTime();
            answer.read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            answer.end = e.toString();
        }
        answer.mEndedAt = System.nanoTime();
        return answer;
    }

    private void read(final BufferedInputStream in) throws IOException {
        final Wire.Head head = Wire.head(in);
        if (head == null) {
            end = "closed without an answer";
            return;
        }
        status = head.status();
        stamp = head.field("response-stamp");
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            for (byte[] chunk = Wire.chunk(in); chunk.length > 0; chunk = Wire.chunk(in)) {
                body.append(new String(chunk, StandardCharsets.ISO_8859_1));
            }
        } else {
            final int length = Integer.parseInt(head.field("content-length"));
            body.append(new String(Wire.exactly(in, length), StandardCharsets.ISO_8859_1));
        }
        complete = true;
        end = "complete";
    }

    /** Returns the time from the last byte of the request to the end of its answer. */
    long millis() {
        return (mEndedAt - mSentAt) / 1_000_000;
    }

    /** Returns the data of the events that were received. */
    List<String> events() {
        final List<String> events = new ArrayList<>();
        for (final String line : body.toString().split("\n")) {
            if (line.startsWith("data: ")) {
                events.add(line.substring("data: ".length()));
            }
        }
        return events;
    }

    @Override
    public String toString() {
        return id + " status " + status + ", " + events().size() + " events, " + end;
    }
}
