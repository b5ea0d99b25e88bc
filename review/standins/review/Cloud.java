package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The platform's interface for duties: takes every call and keeps what it got. */
public final class Cloud implements AutoCloseable {
    private final ServerSocket mSocket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final Log mLog;
    private final List<Call> mCalls = new ArrayList<>();

    /** One call as it arrived. */
    public record Call(long atMillis, String path, String holder, long token, String body) {}

    public Cloud(final Log log) throws IOException {
        mLog = log;
        Store.daemonThread(this::accept).start();
    }

    public int port() {
        return mSocket.getLocalPort();
    }

    public synchronized List<Call> calls() {
        return List.copyOf(mCalls);
    }

    private void accept() {
        try {
            while (true) {
                final Socket socket = mSocket.accept();
                Store.daemonThread(() -> serve(socket)).start();
            }
        } catch (IOException e) {
            // Closed at the end of the case.
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            while (head != null) {
                final String body = new String(Http.readBody(in, head), StandardCharsets.UTF_8);
                final Call call =
                        new Call(
                                mLog.millis(),
                                head.path(),
                                head.field("Duty-Holder"),
                                Long.parseLong(head.field("Fencing-Token")),
                                body);
                synchronized (this) {
                    mCalls.add(call);
                }
                mLog.line("cloud: " + call);
                // No reclaimable server is to be had.
                final String status = body.contains("spot") ? "409 Conflict" : "200 OK";
                socket.getOutputStream()
                        .write(Http.text("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"));
                head = Http.readHead(in);
            }
        } catch (IOException e) {
            // The caller has gone.
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
