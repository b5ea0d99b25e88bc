package org.whinhead.settings.daemon;

import java.nio.file.Path;
import java.util.Objects;

/**
 * The PEM files for TLS.
 *
 * @param certificate the daemon's certificate chain
 * @param key the private key of that certificate
 * @param trust the certificates that peers and the platform are checked against
 */
public record TlsFiles(Path certificate, Path key, Path trust) {

    /** Checks every part. */
    public TlsFiles {
        Objects.requireNonNull(certificate, "certificate");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(trust, "trust");
    }
}
