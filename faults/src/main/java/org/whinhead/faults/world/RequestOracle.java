package org.whinhead.faults.world;

import java.util.HashMap;
import java.util.Map;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.Verdict;

/** Counts the runs of each request and checks the answer or refusal that its caller received. */
final class RequestOracle {

    private final FakeWorld mWorld;
    private final Map<RequestId, Integer> mRuns = new HashMap<>();

    RequestOracle(final FakeWorld world) {
        mWorld = world;
    }

    int runCount(final RequestId request) {
        return mRuns.getOrDefault(request, 0);
    }

    void recordRun(final RequestId request) {
        mRuns.merge(request, 1, Integer::sum);
    }

    void check(final FakeCaller caller) {
        final RequestId id = caller.id();
        require(caller.outcome() != FakeCaller.Outcome.OPEN, "never ended", id);
        final boolean whole = caller.outcome() == FakeCaller.Outcome.WHOLE;
        require(!whole || caller.tokens().size() == caller.length(), "incomplete answer", id);
        for (int index = 0; index < caller.tokens().size(); index++) {
            require(
                    caller.tokens().get(index).equals(FakeWorld.expectedToken(id, index)),
                    "unexpected token",
                    id);
        }
        require(caller.spec().idempotent() || runCount(id) <= 1, "ran twice", id);
        require(!whole || runCount(id) > 0, "answered without a run", id);
        final boolean refusedAsNotRun =
                caller.outcome() == FakeCaller.Outcome.REFUSED
                        && caller.refusal().get().verdict() == Verdict.NOT_RUN
                        && !caller.hasLostConnection();
        require(!refusedAsNotRun || runCount(id) == 0, "ran, but was refused as not run", id);
    }

    private void require(final boolean holds, final String message, final RequestId request) {
        if (!holds) {
            throw new AssertionError(message + ": " + describe(request));
        }
    }

    /** Describes a request, its caller and all decisions of the daemons about it. */
    String describe(final RequestId request) {
        final StringBuilder text = new StringBuilder();
        final FakeCaller caller = mWorld.caller(request);
        text.append(caller.spec()).append(' ').append(caller.outcome()).append(caller.refusal());
        text.append(" ran ").append(runCount(request)).append(" has ").append(caller.tokens());
        for (final FakeDaemon daemon : mWorld.daemons()) {
            text.append("\n daemon ").append(mWorld.daemons().indexOf(daemon));
            daemon.coordinator()
                    .decisionLog()
                    .findByRequest(request)
                    .forEach(decision -> text.append("\n  ").append(decision));
        }
        return text.toString();
    }
}
