package org.whinhead.standins;

import java.time.InstantSource;
import org.whinhead.standins.clock.Ticker;
import org.whinhead.standins.witness.WorkCounter;

/**
 * The objects that all stand-ins of one process share.
 *
 * @param ticker the clock and the thread that drive the stand-ins
 * @param workCounter the counter of the work that the stand-ins did
 */
public record StandInContext(Ticker ticker, WorkCounter workCounter) implements AutoCloseable {

    /** Returns a context on the system's clock. */
    public static StandInContext start() {
        return new StandInContext(new Ticker(InstantSource.system()), new WorkCounter());
    }

    @Override
    public void close() {
        ticker.close();
    }
}
