package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;

/**
 * The link of one machine to a server of the platform. During a cut nothing passes; what was sent
 * on an open channel is sent again as TCP does: 0.2 s after the first time, and then after twice
 * the pause before, until it passes. A reset by the sender drops it.
 */
public final class CutLink implements AutoCloseable {
    private static final long FIRST_PAUSE_MILLIS = 200;
    private final ServerSocket mSocket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final InetSocketAddress mTarget;
    private final List<Socket> mSockets = new ArrayList<>();
    private boolean mCut;

    public CutLink(final int targetPort) throws IOException {
        mTarget = new InetSocketAddress("127.0.0.1", targetPort);
        Store.daemonThread(this::accept).start();
    }

    public String address() {
        return "127.0.0.1:" + mSocket.getLocalPort();
    }

    public synchronized void cut(final boolean cut) {
        mCut = cut;
        notifyAll();
    }

    private synchronized boolean isCut() {
        return mCut;
    }

    private void accept() {
        try {
            while (true) {
                final Socket client = mSocket.accept();
                Store.daemonThread(() -> open(client)).start();
            }
        } catch (IOException e) {
            // Closed at the end of the case.
        }
    }

    private void open(final Socket client) {
        try {
            if (isCut()) {
                // The opening packet is lost; this channel never opens.
                awaitEnd(client);
                return;
            }
            client.setTcpNoDelay(true);
            final Socket server = new Socket();
            server.setTcpNoDelay(true);
            server.connect(mTarget);
            synchronized (this) {
                mSockets.add(server);
            }
            Store.daemonThread(() -> pass(server, client)).start();
            pass(client, server);
        } catch (IOException e) {
            close(client);
        }
    }

    private static void awaitEnd(final Socket client) throws IOException {
        try (client) {
            final byte[] lost = new byte[4096];
            while (client.getInputStream().read(lost) >= 0) {
                // Nothing of it arrives.
            }
        }
    }

    /** One segment at a time: what is read is held until it has passed. */
    private void pass(final Socket from, final Socket to) {
        try {
            final byte[] bytes = new byte[65_536];
            final InputStream in = from.getInputStream();
            int count = in.read(bytes);
            while (count >= 0) {
                final long sentAt = System.nanoTime();
                if (isCut()) {
                    awaitPassage(sentAt);
                }
                to.getOutputStream().write(bytes, 0, count);
                count = in.read(bytes);
            }
            to.shutdownOutput();
        } catch (SocketException e) {
            reset(to);
        } catch (IOException e) {
            close(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitPassage(final long sentAt) throws InterruptedException {
        long pause = FIRST_PAUSE_MILLIS;
        long due = sentAt;
        while (isCut()) {
            due += pause * 1_000_000;
            pause *= 2;
            Thread.sleep(Math.max((due - System.nanoTime()) / 1_000_000, 0));
        }
    }

    private static void reset(final Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException e) {
            // Closed already.
        }
        close(socket);
    }

    private static void close(final Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to do.
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
        synchronized (this) {
            mSockets.forEach(CutLink::close);
        }
    }
}
