package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store as PROTOCOL.md tells it: keyed topics of one partition. */
public final class Store implements AutoCloseable {
    private final Map<String, Topic> mTopics = new HashMap<>();
    private final HttpServer mServer;
    private boolean mDown;
    private long mEra;
    private final ExecutorService mThreads = Executors.newCachedThreadPool(Store::daemonThread);

    public Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        mServer.setExecutor(mThreads);
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    static Thread daemonThread(final Runnable task) {
        final Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    public String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    public int port() {
        return mServer.getAddress().getPort();
    }

    public synchronized void put(final String topic, final String key, final String value) {
        topic(topic).append(key, value.getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    /** Answers all calls with 503, and reads that wait too. */
    public synchronized void setDown(final boolean down) {
        mDown = down;
        notifyAll();
    }

    /** Returns from a copy: what was appended later is gone, and its offsets are given out again. */
    public synchronized void returnToCopy(final long nanoTime) {
        mEra++;
        mTopics.values().forEach(topic -> topic.truncate(nanoTime));
        mDown = false;
        notifyAll();
    }

    private Topic topic(final String name) {
        return mTopics.computeIfAbsent(name, added -> new Topic());
    }

    private void handle(final HttpExchange exchange) throws IOException {
        try {
            final byte[] body = exchange.getRequestBody().readAllBytes();
            final Map<String, String> query = query(exchange.getRequestURI().getQuery());
            final Answer answer = answer(exchange.getRequestURI().getPath(), query, body);
            exchange.getResponseHeaders().set("Store-Era", Long.toString(answer.era()));
            exchange.sendResponseHeaders(
                    answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
            exchange.getResponseBody().write(answer.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private record Answer(int status, byte[] body, long era) {}

    private Answer reply(final int status, final byte[] body) {
        return new Answer(status, body, mEra);
    }

    private static Map<String, String> query(final String text) {
        final Map<String, String> query = new HashMap<>();
        for (final String part : text == null ? new String[0] : text.split("&")) {
            final int equals = part.indexOf('=');
            query.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return query;
    }

    private synchronized Answer answer(
            final String path, final Map<String, String> query, final byte[] body)
            throws InterruptedException {
        if (mDown) {
            return reply(503, new byte[0]);
        }
        final Topic topic = topic(query.get("topic"));
        return switch (path) {
            case "/v1/log-newest" -> reply(200, topic.newest(query.getOrDefault("after", "")));
            case "/v1/log-read" -> read(topic, query);
            case "/v1/log-append" -> append(topic, query, body);
            default -> reply(404, new byte[0]);
        };
    }

    private Answer read(final Topic topic, final Map<String, String> query)
            throws InterruptedException {
        final int from = Integer.parseInt(query.get("from"));
        final long end =
                System.nanoTime()
                        + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
        long left = (end - System.nanoTime()) / 1_000_000;
        final long era = mEra;
        while (from == topic.mRecords.size() && left > 0 && !mDown && era == mEra) {
            wait(left);
            left = (end - System.nanoTime()) / 1_000_000;
        }
        if (mDown) {
            return reply(503, new byte[0]);
        }
        return from > topic.mRecords.size() || era != mEra
                ? reply(410, new byte[0])
                : reply(200, topic.read(from));
    }

    private Answer append(final Topic topic, final Map<String, String> query, final byte[] body) {
        final String at = query.get("at");
        if (at != null && Integer.parseInt(at) != topic.mRecords.size()) {
            return reply(412, Http.text("{\"end\":" + topic.mRecords.size() + "}"));
        }
        final int offset = topic.mRecords.size();
        final ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
            final byte[] record = new byte[records.getInt()];
            records.get(record);
            final int keyEnd = 1 + Byte.toUnsignedInt(record[0]);
            topic.append(
                    new String(record, 1, keyEnd - 1, StandardCharsets.UTF_8),
                    Arrays.copyOfRange(record, keyEnd, record.length));
        }
        notifyAll();
        return reply(
                200,
                Http.text("{\"offset\":" + offset + ",\"end\":" + topic.mRecords.size() + "}"));
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }

    private static final class Topic {
        private final List<byte[]> mRecords = new ArrayList<>();
        private final List<Appended> mHistory = new ArrayList<>();
        private final TreeMap<String, Integer> mOffsets = new TreeMap<>();
        private final Map<String, byte[]> mNewest = new HashMap<>();

        private record Appended(long nanoTime, String key, byte[] value) {}

        private void truncate(final long nanoTime) {
            final List<Appended> kept =
                    mHistory.stream().filter(record -> record.nanoTime() < nanoTime).toList();
            mHistory.clear();
            mRecords.clear();
            mOffsets.clear();
            mNewest.clear();
            kept.forEach(record -> append(record.nanoTime(), record.key(), record.value()));
        }

        private void append(final String key, final byte[] value) {
            append(System.nanoTime(), key, value);
        }

        private void append(final long nanoTime, final String key, final byte[] value) {
            mHistory.add(new Appended(nanoTime, key, value));
            final byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
            final int length = 1 + keyBytes.length + value.length;
            mRecords.add(
                    ByteBuffer.allocate(4 + length)
                            .putInt(length)
                            .put((byte) keyBytes.length)
                            .put(keyBytes)
                            .put(value)
                            .array());
            if (value.length == 0) {
                mOffsets.remove(key);
                mNewest.remove(key);
            } else {
                mOffsets.put(key, mRecords.size() - 1);
                mNewest.put(key, value);
            }
        }

        private byte[] read(final int from) {
            final ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.writeBytes(ByteBuffer.allocate(16).putLong(mRecords.size()).putLong(0).array());
            mRecords.subList(from, mRecords.size()).forEach(answer::writeBytes);
            return answer.toByteArray();
        }

        private byte[] newest(final String after) {
            final StringBuilder items = new StringBuilder();
            mOffsets.tailMap(after, false)
                    .forEach(
                            (key, offset) ->
                                    items.append(items.length() == 0 ? "" : ",")
                                            .append("{\"key\":\"" + key + "\",\"value\":\"")
                                            .append(
                                                    Base64.getEncoder()
                                                            .encodeToString(mNewest.get(key)))
                                            .append("\",\"offset\":" + offset + "}"));
            return Http.text(
                    "{\"items\":["
                            + items
                            + "],\"has_more\":false,\"end\":"
                            + mRecords.size()
                            + "}");
        }
    }
}
