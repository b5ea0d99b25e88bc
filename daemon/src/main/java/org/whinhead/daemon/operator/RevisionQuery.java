package org.whinhead.daemon.operator;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** Queries which other daemons have folded the log up to a revision. */
@FunctionalInterface
public interface RevisionQuery {

    /**
     * Queries the other daemons, within a time limit.
     *
     * @param revision the revision
     * @return the daemons with and without the revision; completed on any thread
     */
    CompletionStage<Report> query(long revision);

    /**
     * The replies of the other daemons.
     *
     * @param inForce the daemons that have folded the log up to the revision
     * @param missing the daemons that have not, or that did not reply
     */
    record Report(List<String> inForce, List<String> missing) {

        /** Copies both lists. */
        public Report {
            inForce = List.copyOf(inForce);
            missing = List.copyOf(missing);
        }
    }
}
