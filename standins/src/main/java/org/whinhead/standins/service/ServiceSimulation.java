package org.whinhead.standins.service;

import java.util.EnumMap;
import java.util.Map;
import org.whinhead.standins.witness.WorkCounter;

/** Simulates a plain service without HTTP; not thread-safe. */
public final class ServiceSimulation {

    private final ServiceConfig mConfig;
    private final WorkCounter mWorkCounter;
    private final Map<ServiceFault, Integer> mRemainingFaults = new EnumMap<>(ServiceFault.class);
    private int mRunning;

    /** Creates an idle service. */
    public ServiceSimulation(final ServiceConfig config, final WorkCounter workCounter) {
        mConfig = config;
        mWorkCounter = workCounter;
    }

    /** Sets the number of next calls that fail with a fault. */
    public void plan(final ServiceFault fault, final int count) {
        mRemainingFaults.put(fault, count);
    }

    /**
     * Begins a call; counts its execution, if it runs, before its outcome is known.
     *
     * @param request the request's identity
     * @param idempotencyKey the call's idempotency key
     * @return the fault of the call, or {@link ServiceFault#NONE}
     */
    public ServiceFault begin(final String request, final String idempotencyKey) {
        final ServiceFault fault = next();
        if (fault.runs()) {
            mRunning++;
            mWorkCounter.countExecution(request, idempotencyKey);
        }
        return fault;
    }

    /** Ends a call that ran. */
    public void end() {
        mRunning--;
    }

    /** Discards the calls in progress, as the end of the process does. */
    public void kill() {
        mRunning = 0;
    }

    private ServiceFault next() {
        for (final Map.Entry<ServiceFault, Integer> planned : mRemainingFaults.entrySet()) {
            if (planned.getValue() > 0) {
                planned.setValue(planned.getValue() - 1);
                return planned.getKey();
            }
        }
        return mRunning >= mConfig.slots() ? ServiceFault.REFUSE : ServiceFault.NONE;
    }
}
