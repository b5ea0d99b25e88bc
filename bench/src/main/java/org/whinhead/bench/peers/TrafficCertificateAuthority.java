package org.whinhead.bench.peers;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.whinhead.settings.daemon.TlsFiles;

/** Issues the TLS certificates of a run. */
final class TrafficCertificateAuthority {

    private final Path mFolder;
    private final X509Bundle mRoot;

    TrafficCertificateAuthority(final Path folder) {
        mFolder = folder;
        try {
            mRoot = builder("root").setIsCertificateAuthority(true).buildSelfSigned();
        } catch (final Exception e) {
            throw new IllegalStateException("creating the certificate authority failed", e);
        }
    }

    private static CertificateBuilder builder(final String name) {
        return new CertificateBuilder()
                .algorithm(CertificateBuilder.Algorithm.ecp256)
                .subject("CN=" + name);
    }

    TlsFiles issue(final String vm) throws IOException {
        final X509Bundle own;
        try {
            own = builder(vm).buildIssuedBy(mRoot);
        } catch (final Exception e) {
            throw new IllegalStateException("issuing a certificate failed: vm=" + vm, e);
        }
        return new TlsFiles(
                Files.writeString(mFolder.resolve(vm + ".crt"), own.getCertificatePathPEM()),
                Files.writeString(mFolder.resolve(vm + ".key"), own.getPrivateKeyPEM()),
                Files.writeString(mFolder.resolve(vm + ".trust"), mRoot.getCertificatePEM()));
    }
}
