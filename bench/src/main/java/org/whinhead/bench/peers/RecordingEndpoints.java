package org.whinhead.bench.peers;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;

/** Endpoints of a plain service that record the time of each daemon's last request. */
final class RecordingEndpoints implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final String DAEMON_PATH = "/daemon-";

    private final int mDaemons;
    private final Undertow mServer;
    private final Map<Integer, Integer> mEndpoints = new HashMap<>();
    private final int[] mPorts;
    private final AtomicLongArray mLast;

    RecordingEndpoints(final int endpoints, final int daemons) {
        mDaemons = daemons;
        mPorts = new int[endpoints];
        mLast = new AtomicLongArray(endpoints * daemons);
        final Undertow.Builder builder =
                Undertow.builder().setIoThreads(1).setWorkerThreads(1).setHandler(this::handle);
        for (int i = 0; i < endpoints; i++) {
            builder.addHttpListener(0, HOST);
        }
        mServer = builder.build();
        mServer.start();
        for (int i = 0; i < endpoints; i++) {
            final InetSocketAddress address =
                    (InetSocketAddress) mServer.getListenerInfo().get(i).getAddress();
            mPorts[i] = address.getPort();
            mEndpoints.put(address.getPort(), i);
        }
    }

    /** Returns the path, below the service, by which a request names its daemon. */
    static String path(final int daemon) {
        return DAEMON_PATH + daemon;
    }

    URI uri(final int endpoint) {
        return URI.create("http://" + HOST + ':' + mPorts[endpoint]);
    }

    private void handle(final HttpServerExchange exchange) {
        final long now = System.nanoTime();
        final String path = exchange.getRequestPath();
        final int daemon =
                Integer.parseInt(path.substring(path.indexOf(DAEMON_PATH) + DAEMON_PATH.length()));
        final int port = exchange.getDestinationAddress().getPort();
        mLast.set(mEndpoints.get(port) * mDaemons + daemon, now);
        exchange.getResponseSender().send("{}");
    }

    /** Returns the nano time of a daemon's last request to an endpoint, or 0 if there was none. */
    long last(final int endpoint, final int daemon) {
        return mLast.get(endpoint * mDaemons + daemon);
    }

    @Override
    public void close() {
        mServer.stop();
    }
}
