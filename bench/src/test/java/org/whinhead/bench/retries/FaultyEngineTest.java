package org.whinhead.bench.retries;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.bench.engine.Conversations;
import org.whinhead.bench.engine.Simulation;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;

class FaultyEngineTest {

    private static final int ANSWER_TOKENS = 50;

    private final Simulation mSimulation = new Simulation();
    private final RequestSpec mSpec = new Conversations(1, 64).nextTurn(Simulation.START).spec();
    private final AttemptId mAttempt = new AttemptId(mSpec.id(), 1);
    private final List<AttemptEvent> mEvents = new ArrayList<>();
    private final FaultyEngine mEngine =
            new FaultyEngine(0, new EndpointId("e"), mSimulation, new Random(1), event -> {});

    // Guards against injected faults that differ from their names, which would void the outage
    // benchmark: a silent engine must compute without events, and a cut engine must end its streams
    // and stop computing.
    @Test
    void injectsTheFaultThatWasSet() {
        start(EngineFault.SILENT, 0);
        mSimulation.runFor(Duration.ofSeconds(10));
        assertThat(mEvents).isEmpty();
        assertThat(mEngine.computedTokens()).isGreaterThan(ANSWER_TOKENS);
        start(EngineFault.CUTS_STREAMS, 0);
        mSimulation.runFor(Duration.ofSeconds(20));
        assertThat(lastFailure()).isNotEqualTo(AttemptFailure.CONNECT_FAILED);
        final long computed = mEngine.computedTokens();
        start(EngineFault.UNREACHABLE, 0);
        mSimulation.runFor(Duration.ofSeconds(30));
        assertThat(lastFailure()).isEqualTo(AttemptFailure.CONNECT_FAILED);
        assertThat(mEngine.computedTokens()).isEqualTo(computed);
    }

    @Test
    void continuesAnswerFromIndexWithoutFault() {
        start(EngineFault.NONE, 20);
        mSimulation.runFor(Duration.ofSeconds(10));
        assertThat(mEvents).hasSize(1 + ANSWER_TOKENS - 20 + 1);
        assertThat(((AttemptEvent.Token) mEvents.get(1)).index()).isEqualTo(20);
        final AttemptEvent last = mEvents.get(mEvents.size() - 1);
        assertThat(((AttemptEvent.Finished) last).answerTokens()).isEqualTo(ANSWER_TOKENS);
    }

    private void start(final EngineFault fault, final long from) {
        mEngine.setFault(fault);
        mEngine.generate(mAttempt, mSpec, ANSWER_TOKENS, from, mEvents::add);
    }

    private AttemptFailure lastFailure() {
        return ((AttemptEvent.Failed) mEvents.get(mEvents.size() - 1)).failure();
    }
}
