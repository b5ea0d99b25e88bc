package org.whinhead.settings.daemon;

import java.nio.file.Path;
import java.util.Objects;

/**
 * Paths of the PEM files for TLS.
 *
 * @param certificate the daemon's certificate chain
 * @param key the private key of that certificate
 * @param trust the trusted certificates, against which those of peers and the platform are verified
 */
public record TlsFiles(Path certificate, Path key, Path trust) {

    /** Validates the components. */
    public TlsFiles {
        Objects.requireNonNull(certificate, "certificate");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(trust, "trust");
    }
}
