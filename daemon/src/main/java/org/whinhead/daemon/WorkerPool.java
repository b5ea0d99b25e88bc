package org.whinhead.daemon;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates the IO threads of a process; several daemons in one process may share them. */
public final class WorkerPool {

    private static final int TASK_THREADS = 1;

    private WorkerPool() {}

    /**
     * Starts a worker.
     *
     * @param name the name of the threads
     * @param ioThreads the number of IO threads
     * @return the worker
     * @throws IOException if the threads cannot be started
     */
    public static XnioWorker start(final String name, final int ioThreads) throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_NAME, name)
                                .set(Options.WORKER_IO_THREADS, ioThreads)
                                .set(Options.WORKER_TASK_CORE_THREADS, TASK_THREADS)
                                .set(Options.WORKER_TASK_MAX_THREADS, TASK_THREADS)
                                .set(Options.TCP_NODELAY, true)
                                .getMap());
    }
}
