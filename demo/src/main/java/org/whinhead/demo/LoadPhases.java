package org.whinhead.demo;

import org.whinhead.standins.load.result.LatencyDistribution;
import org.whinhead.standins.load.result.LoadResult;

/**
 * The callers' results in each phase of a run: until the reclaim notice, until the wave has
 * settled, and until the end.
 *
 * @param atNotice the results from the start to the reclaim notice
 * @param settled the results from the start until the wave had settled
 * @param end the results of the whole run
 */
public record LoadPhases(LoadResult atNotice, LoadResult settled, LoadResult end) {

    /**
     * The latencies of one phase of a run.
     *
     * @param firstToken the times to the first token of requests that ended in this phase
     * @param betweenTokens the times between two tokens
     */
    public record Times(LatencyDistribution firstToken, LatencyDistribution betweenTokens) {

        private static Times of(final LoadResult result) {
            return new Times(result.timeToFirstToken(), result.timeBetweenTokens());
        }

        private Times since(final Times earlier) {
            return new Times(
                    firstToken.since(earlier.firstToken),
                    betweenTokens.since(earlier.betweenTokens));
        }
    }

    /** Returns the latencies before the reclaim notice. */
    public Times before() {
        return Times.of(atNotice);
    }

    /** Returns the latencies from the reclaim notice until the wave had settled. */
    public Times during() {
        return Times.of(settled).since(Times.of(atNotice));
    }

    /** Returns the latencies after the wave had settled. */
    public Times after() {
        return Times.of(end).since(Times.of(settled));
    }

    /** Returns the latencies of the whole run. */
    public Times whole() {
        return Times.of(end);
    }
}
