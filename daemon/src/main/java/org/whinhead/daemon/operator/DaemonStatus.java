package org.whinhead.daemon.operator;

import java.util.List;
import org.whinhead.api.model.DaemonId;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.settings.deployment.DeploymentSettings;

/** The status that a daemon reports of itself; may be read from any thread. */
public interface DaemonStatus {

    /** Returns the identity of the daemon's incarnation. */
    DaemonId id();

    /** Returns whether the daemon can accept requests. */
    boolean isReady();

    /** Returns whether the daemon is stopping. */
    boolean isStopping();

    /** Returns the number of requests in progress. */
    int inProgress();

    /** Returns the settings in force. */
    DeploymentSettings settings();

    /** Returns the log offset of the newest settings change in force; -1 if there is none. */
    long settingsRevision();

    /** Returns the addresses that callers are given. */
    List<EntryAddress> addresses();
}
