package org.whinhead.daemon.log;

import java.util.List;
import java.util.Objects;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.state.fold.FoldView;
import org.whinhead.state.settings.SettingRevision;

/**
 * An immutable snapshot of the state that a daemon has read from the log.
 *
 * @param fold the shared state folded from the records
 * @param settings the documents in force, parsed
 * @param revision the newest revision of any path, deletions included; -1 if there is none
 */
public record LogSnapshot(FoldView fold, DeploymentSettings settings, long revision) {

    /** Checks the parts. */
    public LogSnapshot {
        Objects.requireNonNull(fold, "fold");
        Objects.requireNonNull(settings, "settings");
    }

    /**
     * Returns whether every record up to a revision was folded.
     *
     * @param target the revision
     * @return whether the revision is below the fold's position
     */
    public boolean hasFolded(final long target) {
        return fold.state().asOf() > target;
    }

    static LogSnapshot of(final FoldView fold, final LogSnapshot previous) {
        if (previous.fold().state().settings() == fold.state().settings()) {
            return new LogSnapshot(fold, previous.settings(), previous.revision());
        }
        final var state = fold.state().settings();
        final DeploymentSettings settings =
                previous.settings().refreshed(state.documents(), state::revisionNumber);
        return new LogSnapshot(fold, settings, newestRevision(state.history().values()));
    }

    private static long newestRevision(final Iterable<List<SettingRevision>> history) {
        long newest = -1;
        for (final List<SettingRevision> revisions : history) {
            newest = Math.max(newest, revisions.get(revisions.size() - 1).revision());
        }
        return newest;
    }
}
