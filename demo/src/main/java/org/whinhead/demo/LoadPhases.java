package org.whinhead.demo;

import org.whinhead.standins.load.result.LatencyDistribution;
import org.whinhead.standins.load.result.LoadResult;

/**
 * What callers saw in each part of a run: until the notice, until the wave has settled, and until
 * the end.
 *
 * @param atNotice all that was seen when the reclaim was announced
 * @param settled all that was seen when the wave had settled
 * @param end all that was seen
 */
public record LoadPhases(LoadResult atNotice, LoadResult settled, LoadResult end) {

    /**
     * The times of one part of a run.
     *
     * @param firstToken times to the first token, of requests that ended in this part
     * @param betweenTokens times between two tokens
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

    /** Returns the times until the notice. */
    public Times before() {
        return Times.of(atNotice);
    }

    /** Returns the times from the notice until the wave had settled. */
    public Times during() {
        return Times.of(settled).since(Times.of(atNotice));
    }

    /** Returns the times after the wave had settled. */
    public Times after() {
        return Times.of(end).since(Times.of(settled));
    }

    /** Returns the times of the whole run. */
    public Times whole() {
        return Times.of(end);
    }
}
