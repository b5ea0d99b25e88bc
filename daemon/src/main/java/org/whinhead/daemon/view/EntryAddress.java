package org.whinhead.daemon.view;

import java.net.URI;
import java.util.Objects;
import org.whinhead.api.model.FailureDomain;

/**
 * An address at which callers can reach a daemon.
 *
 * @param uri the address
 * @param domain the failure domain of the daemon's VM
 */
public record EntryAddress(URI uri, FailureDomain domain) {

    /** Checks both parts. */
    public EntryAddress {
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(domain, "domain");
    }
}
