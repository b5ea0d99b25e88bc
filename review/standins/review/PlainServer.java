package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server's socket: hands each connection to a handler and answers status checks. */
public final class PlainServer implements AutoCloseable {
    private final ServerSocket mSocket;
    private final String mId;
    private final Handler mHandler;

    /** Handles one request; returns whether the channel may be kept. */
    public interface Handler {
        boolean handle(Channel channel, Http.Head head) throws IOException, InterruptedException;
    }

    /** One channel to the server. */
    public static final class Channel {
        private final Socket mChannelSocket;
        private final InputStream mIn;
        private byte[] mHeld;

        private Channel(final Socket socket) throws IOException {
            mChannelSocket = socket;
            mIn = new BufferedInputStream(socket.getInputStream());
        }

        public Socket socket() {
            return mChannelSocket;
        }

        public InputStream in() {
            return mIn;
        }

        public void write(final byte[] bytes) throws IOException {
            mChannelSocket.getOutputStream().write(bytes);
        }

        /** Keeps bytes that are sent at the point where the next response is expected. */
        public void hold(final byte[] bytes) {
            mHeld = bytes;
        }

        public byte[] takeHeld() {
            final byte[] held = mHeld;
            mHeld = null;
            return held;
        }
    }

    public PlainServer(final String id, final int receiveBuffer, final Handler handler)
            throws IOException {
        mId = id;
        mHandler = handler;
        mSocket = new ServerSocket();
        if (receiveBuffer > 0) {
            mSocket.setReceiveBufferSize(receiveBuffer);
        }
        mSocket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        Store.daemonThread(this::accept).start();
    }

    public String id() {
        return mId;
    }

    public String address() {
        return "127.0.0.1:" + mSocket.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                final Socket socket = mSocket.accept();
                socket.setTcpNoDelay(true);
                Store.daemonThread(() -> serve(socket)).start();
            }
        } catch (IOException e) {
            // Closed at the end of the case.
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            final Channel channel = new Channel(socket);
            boolean keep = true;
            while (keep) {
                final Http.Head head = Http.readHead(channel.in());
                if (head == null) {
                    return;
                }
                keep = head.path().equals("/health") ? health(channel) : handle(channel, head);
            }
        } catch (IOException e) {
            // The caller has gone.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean handle(final Channel channel, final Http.Head head)
            throws IOException, InterruptedException {
        if (!mId.equals(head.field("Expect-Instance"))) {
            Http.readBody(channel.in(), head);
            channel.write(
                    Http.text(
                            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                                    + mId
                                    + "\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        return mHandler.handle(channel, head);
    }

    private boolean health(final Channel channel) throws IOException {
        channel.write(
                Http.text(
                        "HTTP/1.1 200 OK\r\nInstance-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n"));
        return true;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
