package org.whinhead.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import org.whinhead.standins.answer.ExpectedAnswer;

/** A daemon with scripted answers; each request runs the next script, and the last one repeats. */
public final class ScriptedDaemon implements AutoCloseable {

    /** Answers one request. */
    public interface Script {
        void answer(ReceivedRequest call) throws IOException;
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Undertow mServer;
    private final ConcurrentLinkedQueue<Script> mScripts;
    private final List<ReceivedRequest> mCalls;
    private final List<URI> mAddresses;

    public ScriptedDaemon(final Script... scripts) {
        this(
                new ConcurrentLinkedQueue<>(List.of(scripts)),
                new CopyOnWriteArrayList<>(),
                new CopyOnWriteArrayList<>());
    }

    private ScriptedDaemon(
            final ConcurrentLinkedQueue<Script> scripts,
            final List<ReceivedRequest> calls,
            final List<URI> addresses) {
        mScripts = scripts;
        mCalls = calls;
        mAddresses = addresses;
        mServer =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1")
                        .setIoThreads(1)
                        .setWorkerThreads(8)
                        .setHandler(new BlockingHandler(this::handle))
                        .build();
        mServer.start();
        mAddresses.add(uri());
    }

    /** Starts a daemon whose address query returns only the given address. */
    public static ScriptedDaemon withAddress(final URI address) {
        final ScriptedDaemon daemon = new ScriptedDaemon();
        daemon.mAddresses.set(0, address);
        return daemon;
    }

    /** Starts another daemon that shares the scripts, recorded requests and addresses. */
    public ScriptedDaemon startPeer() {
        return new ScriptedDaemon(mScripts, mCalls, mAddresses);
    }

    public URI uri() {
        final InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        return URI.create("http://127.0.0.1:" + address.getPort());
    }

    public List<ReceivedRequest> calls() {
        return mCalls;
    }

    @Override
    public void close() {
        mServer.stop();
    }

    private void handle(final HttpServerExchange exchange) throws IOException {
        if (exchange.getRequestPath().equals("/v1/addresses")) {
            exchange.getResponseSender().send(addresses());
            return;
        }
        final ReceivedRequest call =
                new ReceivedRequest(uri(), exchange, exchange.getInputStream().readAllBytes());
        mCalls.add(call);
        final Script script = mScripts.size() > 1 ? mScripts.poll() : mScripts.peek();
        script.answer(call);
    }

    private String addresses() {
        return mAddresses.stream()
                .map(address -> "{\"uri\":\"" + address + "\",\"domain\":\"d\"}")
                .collect(Collectors.joining(",", "{\"keepMillis\":60000,\"addresses\":[", "]}"));
    }

    /** A request that the daemon received. */
    public static final class ReceivedRequest {
        private final URI mDaemon;
        private final HttpServerExchange mExchange;
        private final JsonNode mBody;

        private ReceivedRequest(
                final URI daemon, final HttpServerExchange exchange, final byte[] body)
                throws IOException {
            mDaemon = daemon;
            mExchange = exchange;
            mBody = MAPPER.readTree(body);
        }

        public URI daemon() {
            return mDaemon;
        }

        public String path() {
            return mExchange.getRequestPath();
        }

        public String header(final String name) {
            return Optional.ofNullable(mExchange.getRequestHeaders().getFirst(name)).orElse("");
        }

        public JsonNode body() {
            return mBody;
        }

        public int maxTokens() {
            return mBody.path("max_tokens").asInt();
        }

        public String prompt() {
            final List<String> contents = new ArrayList<>();
            mBody.path("messages")
                    .forEach(message -> contents.add(message.path("content").asText()));
            return String.join("\n", contents);
        }

        public ReceivedRequest setHeader(final String header, final String value) {
            mExchange.getResponseHeaders().put(new HttpString(header), value);
            return this;
        }

        public void refuse(final int status, final String verdict, final String code)
                throws IOException {
            mExchange.setStatusCode(status);
            setHeader("X-Whinhead-Verdict", verdict);
            write(errorJson(code, verdict, ",\"retryAfterMillis\":20"));
        }

        /** Refuses without a retry pause. */
        public void refuseWithoutRetry(final int status, final String verdict, final String code)
                throws IOException {
            mExchange.setStatusCode(status);
            setHeader("X-Whinhead-Verdict", verdict);
            write(errorJson(code, verdict, ""));
        }

        /** Streams the correct tokens from one index (inclusive) to another (exclusive). */
        public ReceivedRequest sendTokens(final int from, final int to) throws IOException {
            setHeader("Content-Type", "text/event-stream");
            for (int index = from; index < to; index++) {
                sendToken(index, ExpectedAnswer.token(prompt(), index));
            }
            return this;
        }

        public ReceivedRequest sendToken(final int index, final String text) throws IOException {
            final String data = "{\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}";
            return write("id: " + index + "\ndata: " + data + "\n\n");
        }

        public ReceivedRequest sendError(final String code, final String verdict)
                throws IOException {
            return write("event: error\ndata: " + errorJson(code, verdict, "") + "\n\n");
        }

        public ReceivedRequest endStream() throws IOException {
            write("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n");
            return write("data: [DONE]\n\n");
        }

        public void answerWhole() throws IOException {
            final String content = String.join("", ExpectedAnswer.tokens(prompt(), maxTokens()));
            write("{\"choices\":[{\"message\":{\"content\":\"" + content + "\"}}]}");
        }

        public ReceivedRequest write(final String text) throws IOException {
            final OutputStream out = mExchange.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
            return this;
        }

        /** Closes the connection at once, as when the daemon dies. */
        public void breakConnection() throws IOException {
            mExchange.getConnection().close();
        }

        private static String errorJson(
                final String code, final String verdict, final String extraFields) {
            return "{\"error\":{\"code\":\""
                    + code
                    + "\",\"verdict\":\""
                    + verdict
                    + "\",\"message\":\"\""
                    + extraFields
                    + "}}";
        }
    }
}
