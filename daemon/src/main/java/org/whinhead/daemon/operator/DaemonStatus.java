package org.whinhead.daemon.operator;

import java.util.List;
import org.whinhead.api.model.DaemonId;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.settings.deployment.DeploymentSettings;

/** What a daemon tells of itself; read from any thread. */
public interface DaemonStatus {

    /** Returns the daemon's incarnation. */
    DaemonId id();

    /** Tells whether it can take requests. */
    boolean isReady();

    /** Tells whether it was told to stop. */
    boolean isStopping();

    /** Returns how many requests are in progress. */
    int inProgress();

    /** Returns the settings in force. */
    DeploymentSettings settings();

    /** Returns the log offset that the settings in force go back to; -1 if there is none. */
    long settingsRevision();

    /** Returns the addresses that callers are told. */
    List<EntryAddress> addresses();
}
