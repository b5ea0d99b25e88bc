package org.whinhead.peer;

import java.nio.file.Path;
import java.util.Objects;

/**
 * Where the material for mutual TLS lies; all files are PEM.
 *
 * @param certificate the own certificate, then its chain
 * @param key the own private key as PKCS #8
 * @param trust the certificates of the authorities whose peers are let in
 */
public record PeerTlsFiles(Path certificate, Path key, Path trust) {

    /** Checks every part. */
    public PeerTlsFiles {
        Objects.requireNonNull(certificate, "certificate");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(trust, "trust");
    }
}
