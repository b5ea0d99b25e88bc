package org.whinhead.clients.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Makes HTTP calls without blocking; each IO thread keeps its own idle connections, so that a call
 * never crosses threads.
 */
public final class HttpCaller implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final Map<XnioIoThread, ConnectionPool> mPools = new ConcurrentHashMap<>();

    /**
     * Makes a caller on a worker's IO threads.
     *
     * @param worker the worker; it is not closed with the caller
     */
    public HttpCaller(final XnioWorker worker) {
        mWorker = worker;
    }

    /**
     * Starts a call on any IO thread.
     *
     * @param request what to send
     * @param listener told of the response
     * @return the call
     */
    public HttpCall start(final OutgoingRequest request, final ResponseListener listener) {
        final HttpCall call = prepare(request, mWorker.getIoThread(), listener);
        call.begin();
        return call;
    }

    /**
     * Prepares a call on one IO thread, to be started by {@link HttpCall#begin}.
     *
     * @param request what to send
     * @param thread where the listener is called
     * @param listener told of the response
     * @return the call
     */
    public HttpCall prepare(
            final OutgoingRequest request,
            final XnioIoThread thread,
            final ResponseListener listener) {
        final ConnectionPool pool = mPools.computeIfAbsent(thread, ignored -> new ConnectionPool());
        return new HttpCall(request, thread, pool, mBuffers, listener);
    }

    /** Returns an IO thread, for work that belongs to no connection yet. */
    public XnioIoThread anyThread() {
        return mWorker.getIoThread();
    }

    @Override
    public void close() {
        mPools.forEach((thread, pool) -> thread.execute(pool::close));
    }
}
