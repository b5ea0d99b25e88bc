package org.whinhead.faults.world;

import java.util.HashMap;
import java.util.Map;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.Verdict;

/** Counts the runs of each request and checks what its caller was given. */
final class RequestOracle {

    private final FakeWorld mWorld;
    private final Map<RequestId, Integer> mRuns = new HashMap<>();

    RequestOracle(final FakeWorld world) {
        mWorld = world;
    }

    int runs(final RequestId request) {
        return mRuns.getOrDefault(request, 0);
    }

    void ran(final RequestId request) {
        mRuns.merge(request, 1, Integer::sum);
    }

    void check(final FakeCaller caller) {
        final RequestId id = caller.id();
        require(caller.end() != FakeCaller.End.OPEN, "never ended", id);
        final boolean whole = caller.end() == FakeCaller.End.WHOLE;
        require(!whole || caller.tokens().size() == caller.length(), "not whole", id);
        for (int index = 0; index < caller.tokens().size(); index++) {
            require(
                    caller.tokens().get(index).equals(FakeWorld.token(id, index)),
                    "foreign token",
                    id);
        }
        require(caller.spec().idempotent() || runs(id) <= 1, "ran twice", id);
        require(!whole || runs(id) > 0, "answered without a run", id);
        final boolean saidNotRun =
                caller.end() == FakeCaller.End.REFUSED
                        && caller.refusal().get().verdict() == Verdict.NOT_RUN
                        && !caller.wasCutOff();
        require(!saidNotRun || runs(id) == 0, "ran after not-run", id);
    }

    private void require(final boolean holds, final String what, final RequestId request) {
        if (!holds) {
            throw new AssertionError(what + ": " + describe(request));
        }
    }

    /** Tells all that the daemons decided about a request. */
    String describe(final RequestId request) {
        final StringBuilder text = new StringBuilder();
        final FakeCaller caller = mWorld.caller(request);
        text.append(caller.spec()).append(' ').append(caller.end()).append(caller.refusal());
        text.append(" ran ").append(runs(request)).append(" has ").append(caller.tokens());
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
