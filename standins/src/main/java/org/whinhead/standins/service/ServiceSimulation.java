package org.whinhead.standins.service;

import java.util.EnumMap;
import java.util.Map;
import org.whinhead.standins.witness.WorkCounter;

/** A plain service without its HTTP side; single-threaded. */
public final class ServiceSimulation {

    private final ServiceConfig mConfig;
    private final WorkCounter mWitness;
    private final Map<ServiceFault, Integer> mPlanned = new EnumMap<>(ServiceFault.class);
    private int mRunning;

    /** Makes an idle service. */
    public ServiceSimulation(final ServiceConfig config, final WorkCounter witness) {
        mConfig = config;
        mWitness = witness;
    }

    /** Plans a fault for the next calls. */
    public void plan(final ServiceFault fault, final int count) {
        mPlanned.put(fault, count);
    }

    /**
     * Begins a call; one that runs is counted at once, however it ends.
     *
     * @param request the request's identity
     * @param idempotencyKey the call's key
     * @return what goes wrong with it
     */
    public ServiceFault begin(final String request, final String idempotencyKey) {
        final ServiceFault fault = next();
        if (fault.runs()) {
            mRunning++;
            mWitness.countExecution(request, idempotencyKey);
        }
        return fault;
    }

    /** Ends a call that ran. */
    public void end() {
        mRunning--;
    }

    /** Forgets the calls in progress, as the end of the process would. */
    public void kill() {
        mRunning = 0;
    }

    private ServiceFault next() {
        for (final Map.Entry<ServiceFault, Integer> planned : mPlanned.entrySet()) {
            if (planned.getValue() > 0) {
                planned.setValue(planned.getValue() - 1);
                return planned.getKey();
            }
        }
        return mRunning >= mConfig.slots() ? ServiceFault.REFUSE : ServiceFault.NONE;
    }
}
