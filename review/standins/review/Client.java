package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests to a daemon over a channel of its own. */
public final class Client implements AutoCloseable {
    private static final AtomicInteger IDS = new AtomicInteger();
    private final Socket mSocket = new Socket();
    private final InputStream mIn;

    /** What a consumer got. */
    public record Answer(Http.Head head, byte[] body) {
        public int status() {
            return head.status();
        }
    }

    public Client(final Daemon daemon, final int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            mSocket.setReceiveBufferSize(receiveBuffer);
        }
        mSocket.setTcpNoDelay(true);
        mSocket.connect(new InetSocketAddress(daemon.ip(), daemon.front()), 1_000);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    public static String newId() {
        return String.format("%016x", 0x9c41d07be2a30000L + IDS.incrementAndGet());
    }

    public Socket socket() {
        return mSocket;
    }

    public InputStream in() {
        return mIn;
    }

    public void send(
            final String method,
            final String prefix,
            final String id,
            final int deadlineMillis,
            final byte[] body)
            throws IOException {
        sendHead(method, prefix, id, deadlineMillis, body.length);
        mSocket.getOutputStream().write(body);
    }

    public void sendHead(
            final String method,
            final String prefix,
            final String id,
            final int deadlineMillis,
            final int length)
            throws IOException {
        final StringBuilder head = new StringBuilder();
        head.append(method + " " + prefix + "2f HTTP/1.1\r\n");
        head.append("Host: " + Site.HOST + "\r\n");
        head.append("Attempt-Id: " + id + "\r\n");
        head.append("Deadline-Ms: " + deadlineMillis + "\r\n");
        head.append("Key: " + Site.KEY + "\r\n");
        if (!method.equals("GET")) {
            head.append("Content-Length: " + length + "\r\n");
        }
        head.append("\r\n");
        mSocket.getOutputStream().write(Http.text(head.toString()));
    }

    public Answer read(final int timeoutMillis) throws IOException {
        mSocket.setSoTimeout(timeoutMillis);
        final Http.Head head = Http.readHead(mIn);
        if (head == null) {
            throw new IOException("channel closed without an answer");
        }
        return new Answer(head, Http.readBody(mIn, head));
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
