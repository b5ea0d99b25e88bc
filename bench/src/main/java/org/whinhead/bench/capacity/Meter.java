package org.whinhead.bench.capacity;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Measures processor time and retained memory.
 *
 * <p>Processor time is that of the whole process, so that collecting the garbage counts too. Memory
 * is the used heap after full collections, before and after the objects were made.
 */
final class Meter {

    private static final int REPETITIONS = 3;

    /** The serial collector leaves dead objects in place, but for each fourth full collection. */
    private static final int COLLECTIONS = 4;

    private static final int MOST_WARM_WINDOWS = 6;
    private static final double STEADY = 0.15;
    private static final long WINDOW_NANOS = 500_000_000;

    private final OperatingSystemMXBean mSystem =
            ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);

    /**
     * Measures nanoseconds of processor time for one unit of work.
     *
     * @param work does some work and returns how many units it did
     */
    Spread nanos(final LongSupplier work) {
        warm(work);
        final double[] nanos = new double[REPETITIONS];
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            nanos[repetition] = window(work);
        }
        return Spread.of(nanos);
    }

    /** Runs until two windows in a row agree, so that the compiler's own time is left out. */
    private void warm(final LongSupplier work) {
        double before = window(work);
        double last = window(work);
        for (int windows = 2; windows < MOST_WARM_WINDOWS; windows++) {
            if (Math.abs(last - before) <= STEADY * before) {
                return;
            }
            before = last;
            last = window(work);
        }
    }

    private double window(final LongSupplier work) {
        final long cpuBefore = mSystem.getProcessCpuTime();
        final long start = System.nanoTime();
        long units = 0;
        do {
            units += work.getAsLong();
        } while (System.nanoTime() - start < WINDOW_NANOS);
        return (double) (mSystem.getProcessCpuTime() - cpuBefore) / units;
    }

    /**
     * Measures the bytes that an object retains.
     *
     * @param maker makes it anew each time
     */
    Spread retained(final Supplier<?> maker) {
        retainedOnce(maker);
        final double[] bytes = new double[REPETITIONS];
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            bytes[repetition] = retainedOnce(maker);
        }
        return Spread.of(bytes);
    }

    // A method of its own: in a loop the last object would still be reachable from the frame.
    private static long retainedOnce(final Supplier<?> maker) {
        final long before = usedAfterCollection();
        final Object made = maker.get();
        final long after = usedAfterCollection();
        Reference.reachabilityFence(made);
        return after - before;
    }

    private static long usedAfterCollection() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
