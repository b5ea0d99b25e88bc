package org.whinhead.admission;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.Arguments;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;

/** A FIFO queue with bounds on running and on queued requests; ignores tiers and budgets. */
public final class FifoAdmission implements Admission {

    private final int mMaxRunning;
    private final int mMaxWaiting;
    private final Deque<RequestSpec> mWaiting = new ArrayDeque<>();
    private final Set<RequestId> mRunning = new HashSet<>();

    /**
     * Creates an empty queue.
     *
     * @param maxRunning the maximum number of running requests, at least 1
     * @param maxWaiting the maximum number of queued requests, at least 1
     */
    public FifoAdmission(final int maxRunning, final int maxWaiting) {
        Arguments.requireAtLeast(maxRunning, 1, "maxRunning");
        Arguments.requireAtLeast(maxWaiting, 1, "maxWaiting");
        mMaxRunning = maxRunning;
        mMaxWaiting = maxWaiting;
    }

    @Override
    public Optional<Refusal> offer(final RequestSpec spec, final Instant now) {
        if (mWaiting.size() >= mMaxWaiting) {
            return Optional.of(Refusal.notRun(ErrorCode.OVERLOADED, "queue full"));
        }
        mWaiting.add(spec);
        return Optional.empty();
    }

    @Override
    public List<RequestSpec> takeAdmitted(final Instant now) {
        final List<RequestSpec> admitted = new ArrayList<>();
        while (mRunning.size() < mMaxRunning && !mWaiting.isEmpty()) {
            final RequestSpec spec = mWaiting.remove();
            mRunning.add(spec.id());
            admitted.add(spec);
        }
        return admitted;
    }

    @Override
    public void resume(final RequestSpec spec, final long restTokens, final Instant now) {
        mRunning.add(spec.id());
    }

    @Override
    public List<ShedRequest> takeShed(final Instant now) {
        final List<ShedRequest> shed = new ArrayList<>();
        for (final Iterator<RequestSpec> iterator = mWaiting.iterator(); iterator.hasNext(); ) {
            final RequestSpec spec = iterator.next();
            if (!now.isBefore(spec.deadline())) {
                iterator.remove();
                shed.add(
                        new ShedRequest(
                                spec, Refusal.notRun(ErrorCode.DEADLINE_PASSED, "in queue")));
            }
        }
        return shed;
    }

    @Override
    public void requestEnded(
            final RequestId request, final long generatedTokens, final Instant now) {
        if (!mRunning.remove(request)) {
            mWaiting.removeIf(spec -> spec.id().equals(request));
        }
    }
}
