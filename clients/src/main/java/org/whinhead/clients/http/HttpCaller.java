package org.whinhead.clients.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Makes non-blocking HTTP calls. Each IO thread has its own pool of idle connections, so that a
 * call stays on one thread.
 */
public final class HttpCaller implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final Map<XnioIoThread, ConnectionPool> mPools = new ConcurrentHashMap<>();

    /**
     * Creates a caller that uses a worker's IO threads.
     *
     * @param worker the worker; {@link #close} does not close it
     */
    public HttpCaller(final XnioWorker worker) {
        mWorker = worker;
    }

    /**
     * Starts a call on any IO thread.
     *
     * @param request the request
     * @param listener receives the events of the response
     * @return the call
     */
    public HttpCall start(final OutgoingRequest request, final ResponseListener listener) {
        final HttpCall call = prepare(request, mWorker.getIoThread(), listener);
        call.begin();
        return call;
    }

    /**
     * Creates a call on one IO thread without starting it; see {@link HttpCall#begin}.
     *
     * @param request the request
     * @param thread the IO thread of the call, on which the listener is called
     * @param listener receives the events of the response
     * @return the call
     */
    public HttpCall prepare(
            final OutgoingRequest request,
            final XnioIoThread thread,
            final ResponseListener listener) {
        final ConnectionPool pool = mPools.computeIfAbsent(thread, ignored -> new ConnectionPool());
        return new HttpCall(request, thread, pool, mBuffers, listener);
    }

    /** Returns an IO thread for work that has no connection yet. */
    public XnioIoThread anyThread() {
        return mWorker.getIoThread();
    }

    @Override
    public void close() {
        mPools.forEach((thread, pool) -> thread.execute(pool::close));
    }
}
