package org.whinhead.peer;

import java.nio.file.Path;
import java.util.Objects;

/**
 * The PEM files for mutual TLS.
 *
 * @param certificate the own certificate, followed by its chain
 * @param key the own private key in PKCS #8 form
 * @param trust the certificates of the authorities that issue trusted peers' certificates
 */
public record PeerTlsFiles(Path certificate, Path key, Path trust) {

    /** Validates all components. */
    public PeerTlsFiles {
        Objects.requireNonNull(certificate, "certificate");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(trust, "trust");
    }
}
