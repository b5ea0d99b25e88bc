package org.whinhead.daemon.log;

import java.util.List;
import java.util.Objects;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.state.fold.FoldView;
import org.whinhead.state.settings.SettingRevision;

/**
 * What a daemon knows from the log at one time; immutable.
 *
 * @param fold the shared state
 * @param settings the documents in force, typed
 * @param revision the newest revision of any path, deletions among them; -1 if there is none
 */
public record LogSnapshot(FoldView fold, DeploymentSettings settings, long revision) {

    /** Checks the parts. */
    public LogSnapshot {
        Objects.requireNonNull(fold, "fold");
        Objects.requireNonNull(settings, "settings");
    }

    /**
     * Tells whether every record up to a revision was folded.
     *
     * @param wanted the revision
     * @return whether it is below the fold's position
     */
    public boolean hasFolded(final long wanted) {
        return fold.state().asOf() > wanted;
    }

    static LogSnapshot of(final FoldView fold, final LogSnapshot former) {
        if (former.fold().state().settings() == fold.state().settings()) {
            return new LogSnapshot(fold, former.settings(), former.revision());
        }
        final var state = fold.state().settings();
        final DeploymentSettings settings =
                former.settings().refreshed(state.documents(), state::revisionNumber);
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
