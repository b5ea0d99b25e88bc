package org.whinhead.bench.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.EndpointId;
import org.whinhead.routing.CacheEvent;

/**
 * Guards against prompts that are computed again although their prefix is cached, and against a
 * prefix cache that outgrows its capacity or doesn't report its evictions.
 */
class EngineModelTest implements EngineListener {

    private final List<Sequence> mFinished = new ArrayList<>();
    private final List<CacheEvent> mEvents = new ArrayList<>();
    private final Simulation mSimulation = new Simulation();

    @Test
    void repeatedPromptIsServedFromPrefixCache() {
        final EngineModel engine = engine(EngineSettings.DEFAULT);
        final Conversations conversations = new Conversations(1, 64);
        final Sequence first = new Sequence(conversations.nextTurn(Simulation.START).spec(), 3);
        engine.submit(first);
        mSimulation.runFor(Duration.ofSeconds(10));
        final Sequence again = new Sequence(first.spec(), 3);
        engine.submit(again);
        mSimulation.runFor(Duration.ofSeconds(20));
        assertThat(mFinished).containsExactly(first, again);
        assertThat(first.uncachedPromptTokens()).isEqualTo(first.spec().promptTokens());
        assertThat(again.uncachedPromptTokens()).isEqualTo(1);
        assertThat(mEvents).hasSize(first.spec().prefixHashes().size());
    }

    @Test
    void cacheStaysWithinCapacityAndReportsEvictions() {
        final EngineSettings small = new EngineSettings(4, 20, 64, 20_000, 500, 150, 512);
        final EngineModel engine = engine(small);
        final Conversations conversations = new Conversations(2, 64);
        for (int i = 0; i < 30; i++) {
            engine.submit(new Sequence(conversations.nextTurn(Simulation.START).spec(), 2));
        }
        mSimulation.runFor(Duration.ofSeconds(60));
        final long stored =
                mEvents.stream().filter(e -> e.kind() == CacheEvent.Kind.STORED).count();
        assertThat(mFinished).hasSize(30);
        assertThat(stored - (mEvents.size() - stored)).isLessThanOrEqualTo(20);
    }

    private EngineModel engine(final EngineSettings settings) {
        return new EngineModel(0, new EndpointId("e"), settings, mSimulation, this);
    }

    @Override
    public void sequenceFinished(final int engine, final Sequence sequence) {
        mFinished.add(sequence);
    }

    @Override
    public void cacheChanged(final CacheEvent event) {
        mEvents.add(event);
    }
}
