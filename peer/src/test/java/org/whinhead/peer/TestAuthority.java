package org.whinhead.peer;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;

/** A certificate authority that issues the TLS files of daemons. */
final class TestAuthority {

    private final X509Bundle mRoot;

    TestAuthority() throws Exception {
        mRoot = builder("root").setIsCertificateAuthority(true).buildSelfSigned();
    }

    private static CertificateBuilder builder(final String name) {
        return new CertificateBuilder()
                .algorithm(CertificateBuilder.Algorithm.ecp256)
                .subject("CN=" + name);
    }

    PeerTlsFiles issue(final Path folder, final String name) throws Exception {
        return write(folder, name, builder(name).buildIssuedBy(mRoot));
    }

    PeerTlsFiles issueExpired(final Path folder, final String name) throws Exception {
        final Instant ended = Instant.now().minus(Duration.ofDays(1));
        final CertificateBuilder expired =
                builder(name).notBefore(ended.minus(Duration.ofDays(1))).notAfter(ended);
        return write(folder, name, expired.buildIssuedBy(mRoot));
    }

    private PeerTlsFiles write(final Path folder, final String name, final X509Bundle bundle)
            throws IOException {
        return new PeerTlsFiles(
                Files.writeString(folder.resolve(name + ".crt"), bundle.getCertificatePathPEM()),
                Files.writeString(folder.resolve(name + ".key"), bundle.getPrivateKeyPEM()),
                Files.writeString(folder.resolve(name + ".trust"), mRoot.getCertificatePEM()));
    }
}
