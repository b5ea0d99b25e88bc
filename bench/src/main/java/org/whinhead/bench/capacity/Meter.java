package org.whinhead.bench.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Measures processor time and retained memory.
 *
 * <p>Processor time is that of the whole process, so that it includes garbage collection. Retained
 * memory is the difference of the used heap after full collections, before and after the objects
 * are created.
 */
final class Meter {

    private static final int REPETITIONS = 3;

    /** The serial collector leaves dead objects in place except on every fourth full collection. */
    private static final int COLLECTIONS_PER_READING = 4;

    private static final int MAX_WARM_UP_WINDOWS = 6;
    private static final double STEADY_TOLERANCE = 0.15;
    private static final long WINDOW_NANOS = 500_000_000;

    private final OperatingSystemMXBean mSystem =
            ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);

    /**
     * Measures the processor time per unit of work, in nanoseconds.
     *
     * @param work does some work and returns the number of units done
     */
    Spread measureCpuNanos(final LongSupplier work) {
        warmUp(work);
        final double[] nanos = new double[REPETITIONS];
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            nanos[repetition] = runWindow(work);
        }
        return Spread.of(nanos);
    }

    /** Runs until two consecutive windows agree, to exclude the time of the JIT compiler. */
    private void warmUp(final LongSupplier work) {
        double before = runWindow(work);
        double last = runWindow(work);
        for (int windows = 2; windows < MAX_WARM_UP_WINDOWS; windows++) {
            if (Math.abs(last - before) <= STEADY_TOLERANCE * before) {
                return;
            }
            before = last;
            last = runWindow(work);
        }
    }

    private double runWindow(final LongSupplier work) {
        final long cpuBefore = mSystem.getProcessCpuTime();
        final long start = System.nanoTime();
        long units = 0;
        do {
            units += work.getAsLong();
        } while (System.nanoTime() - start < WINDOW_NANOS);
        return (double) (mSystem.getProcessCpuTime() - cpuBefore) / units;
    }

    /**
     * Measures the retained size of an object, in bytes.
     *
     * @param factory creates a new object on each call
     */
    Spread measureRetainedBytes(final Supplier<?> factory) {
        retainedBytes(factory);
        final double[] bytes = new double[REPETITIONS];
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            bytes[repetition] = retainedBytes(factory);
        }
        return Spread.of(bytes);
    }

    // A separate method: in a loop the previous object would stay reachable from the frame.
    private static long retainedBytes(final Supplier<?> factory) {
        final long before = usedHeapAfterCollection();
        final Object created = factory.get();
        final long after = usedHeapAfterCollection();
        Reference.reachabilityFence(created);
        return after - before;
    }

    private static long usedHeapAfterCollection() {
        for (int collection = 0; collection < COLLECTIONS_PER_READING; collection++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
