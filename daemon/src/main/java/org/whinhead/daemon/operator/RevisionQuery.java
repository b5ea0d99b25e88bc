package org.whinhead.daemon.operator;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** Tells which other daemons have folded the log up to a revision. */
@FunctionalInterface
public interface RevisionQuery {

    /**
     * Asks the other daemons, within a bound of time.
     *
     * @param revision the revision
     * @return who is known to hold it and who is not, on any thread
     */
    CompletionStage<Report> query(long revision);

    /**
     * What is known of the other daemons.
     *
     * @param inForce the daemons that are known to hold the revision
     * @param missing the daemons that do not, or cannot be asked
     */
    record Report(List<String> inForce, List<String> missing) {

        /** Copies both lists. */
        public Report {
            inForce = List.copyOf(inForce);
            missing = List.copyOf(missing);
        }
    }
}
