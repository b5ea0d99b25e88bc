import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store and its cloud: keyed topics with one partition, and calls that are taken. */
final class Store {

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final TreeMap<String, Integer> newest = new TreeMap<>();
    }

    private final Map<String, Topic> mTopics = new HashMap<>();
    private final ServerSocket mServer;
    private final CaseRecord mRecord;

    Store(final CaseRecord record) throws IOException {
        mRecord = record;
        mServer = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        final Thread acceptor = new Thread(this::accept, "store");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return mServer.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                final Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                final Thread thread = new Thread(() -> serve(socket), "store-call");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            final OutputStream out = socket.getOutputStream();
            for (Wire.Head head = Wire.head(in); head != null; head = Wire.head(in)) {
                final byte[] body = Wire.requestBody(in, head);
                answer(head, body, out);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        }
    }

    private void answer(final Wire.Head head, final byte[] body, final OutputStream out)
            throws IOException, InterruptedException {
        final String[] target = head.target().split("\\?", 2);
        final Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (final String pair : target[1].split("&")) {
                query.put(pair.split("=")[0], pair.substring(pair.indexOf('=') + 1));
            }
        }
        switch (target[0]) {
            case "/v1/log-newest" -> reply(out, 200, "application/json", newest(query));
            case "/v1/log-read" -> read(query, out);
            case "/v1/log-append" -> append(query, body, out);
            case "/usage", "/scale" -> {
                mRecord.add(
                        "cloud " + target[0] + " " + head.field("duty-holder") + " "
                                + head.field("fencing-token") + " "
                                + new String(body, StandardCharsets.UTF_8));
                reply(out, 200, "application/json", Wire.ascii("{}"));
            }
            default -> reply(out, 404, "application/json", Wire.ascii("{}"));
        }
    }

    private static void reply(
            final OutputStream out, final int status, final String type, final byte[] body)
            throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(
                Wire.ascii(
                        "HTTP/1.1 " + status + " X\r\nContent-Type: " + type
                                + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    private synchronized byte[] newest(final Map<String, String> query) {
        final Topic topic = topic(query.get("topic"));
        final StringBuilder items = new StringBuilder();
        topic.newest.forEach(
                (key, offset) -> {
                    final byte[] record = topic.records.get(offset);
                    final byte[] value = Arrays.copyOfRange(record, 1 + record[0], record.length);
                    items.append(items.length() == 0 ? "" : ",")
                            .append("{\"key\":\"").append(key).append("\",\"value\":\"")
                            .append(Base64.getEncoder().encodeToString(value))
                            .append("\",\"offset\":").append(offset).append('}');
                });
        return Wire.ascii(
                "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + topic.records.size()
                        + "}");
    }

    private Topic topic(final String name) {
        return mTopics.computeIfAbsent(name, key -> new Topic());
    }

    private void read(final Map<String, String> query, final OutputStream out)
            throws IOException, InterruptedException {
        final int from = Integer.parseInt(query.get("from"));
        final long end =
                System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            final Topic topic = topic(query.get("topic"));
            long left = end - System.currentTimeMillis();
            while (from == topic.records.size() && left > 0) {
                wait(left);
                left = end - System.currentTimeMillis();
            }
            final DataOutputStream data = new DataOutputStream(bytes);
            data.writeLong(topic.records.size());
            data.writeLong(0);
            for (int offset = from; offset < topic.records.size(); offset++) {
                data.writeInt(topic.records.get(offset).length);
                data.write(topic.records.get(offset));
            }
        }
        reply(out, 200, "application/octet-stream", bytes.toByteArray());
    }

    private void append(
            final Map<String, String> query, final byte[] body, final OutputStream out)
            throws IOException {
        final int first;
        final int end;
        synchronized (this) {
            final Topic topic = topic(query.get("topic"));
            first = topic.records.size();
            if (query.containsKey("at") && Long.parseLong(query.get("at")) != first) {
                end = -1;
            } else {
                final DataInputStream data = new DataInputStream(new ByteArrayInputStream(body));
                while (data.available() > 0) {
                    add(topic, data.readNBytes(data.readInt()));
                }
                end = topic.records.size();
                notifyAll();
            }
        }
        if (end < 0) {
            reply(out, 412, "application/json", Wire.ascii("{\"end\":" + first + "}"));
        } else {
            reply(
                    out, 200, "application/json",
                    Wire.ascii("{\"offset\":" + first + ",\"end\":" + end + "}"));
        }
    }

    private static void add(final Topic topic, final byte[] record) {
        topic.records.add(record);
        final String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
        if (record.length == 1 + record[0]) {
            topic.newest.remove(key);
        } else {
            topic.newest.put(key, topic.records.size() - 1);
        }
    }

    /** Writes a record as the operator or the platform does. */
    synchronized void put(final String topic, final String key, final String value) {
        add(topic(topic), keyed(key, value));
        notifyAll();
    }

    static byte[] keyed(final String key, final String value) {
        final byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        final byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        final byte[] record = new byte[1 + keyBytes.length + valueBytes.length];
        record[0] = (byte) keyBytes.length;
        System.arraycopy(keyBytes, 0, record, 1, keyBytes.length);
        System.arraycopy(valueBytes, 0, record, 1 + keyBytes.length, valueBytes.length);
        return record;
    }
}
