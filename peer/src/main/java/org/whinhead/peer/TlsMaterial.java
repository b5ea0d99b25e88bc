package org.whinhead.peer;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Arrays;
import java.util.Base64;
import javax.net.ssl.SSLException;

/** The contents of the TLS files at one time, and the TLS contexts built from them. */
final class TlsMaterial {

    private static final String PROTOCOL = "TLSv1.3";
    private static final String PEM_LINE = "-----[A-Z ]+-----";

    private final byte[] mCertificate;
    private final byte[] mKey;
    private final byte[] mTrust;
    private final SslContext mServer;
    private final SslContext mClient;

    private TlsMaterial(
            final byte[] certificate,
            final byte[] key,
            final byte[] trust,
            final SslContext server,
            final SslContext client) {
        mCertificate = certificate;
        mKey = key;
        mTrust = trust;
        mServer = server;
        mClient = client;
    }

    static TlsMaterial load(final PeerTlsFiles files) throws PeerException {
        try {
            final byte[] certificate = Files.readAllBytes(files.certificate());
            final byte[] key = Files.readAllBytes(files.key());
            final byte[] trust = Files.readAllBytes(files.trust());
            return parse(certificate, key, trust);
        } catch (final IOException e) {
            throw new PeerException("the TLS files cannot be read", e);
        } catch (final GeneralSecurityException | IllegalArgumentException e) {
            throw new PeerException("the TLS files are not valid or do not match", e);
        }
    }

    private static TlsMaterial parse(final byte[] certificate, final byte[] key, final byte[] trust)
            throws GeneralSecurityException, SSLException {
        final X509Certificate[] chain = certificates(certificate);
        final X509Certificate[] authorities = certificates(trust);
        final PrivateKey privateKey = privateKey(key, chain[0].getPublicKey());
        requireMatchingPair(privateKey, chain[0].getPublicKey());
        final SslContext server =
                SslContextBuilder.forServer(privateKey, chain)
                        .sslProvider(SslProvider.JDK)
                        .protocols(PROTOCOL)
                        .trustManager(authorities)
                        .clientAuth(ClientAuth.REQUIRE)
                        .build();
        final SslContext client =
                SslContextBuilder.forClient()
                        .sslProvider(SslProvider.JDK)
                        .protocols(PROTOCOL)
                        .keyManager(privateKey, chain)
                        .trustManager(authorities)
                        // PeerConnection checks the VM's identity instead of the host name.
                        .endpointIdentificationAlgorithm(null)
                        .build();
        return new TlsMaterial(certificate, key, trust, server, client);
    }

    private static X509Certificate[] certificates(final byte[] pem) throws CertificateException {
        final X509Certificate[] certificates =
                CertificateFactory.getInstance("X.509")
                        .generateCertificates(new ByteArrayInputStream(pem))
                        .toArray(new X509Certificate[0]);
        if (certificates.length == 0) {
            throw new CertificateException("no certificate in the file");
        }
        return certificates;
    }

    private static PrivateKey privateKey(final byte[] pem, final PublicKey publicKey)
            throws GeneralSecurityException {
        final String text = new String(pem, StandardCharsets.US_ASCII);
        final byte[] der = Base64.getMimeDecoder().decode(text.replaceAll(PEM_LINE, ""));
        return KeyFactory.getInstance(publicKey.getAlgorithm())
                .generatePrivate(new PKCS8EncodedKeySpec(der));
    }

    /**
     * Checks by a trial signature that the key belongs to the certificate. While files are replaced
     * one after the other, a new certificate with an old key would make every new connection fail;
     * the exception makes the caller keep the old pair.
     */
    private static void requireMatchingPair(final PrivateKey key, final PublicKey publicKey)
            throws GeneralSecurityException {
        final Signature signature = Signature.getInstance(signatureFor(publicKey.getAlgorithm()));
        signature.initSign(key);
        signature.update(publicKey.getEncoded());
        final byte[] signed = signature.sign();
        signature.initVerify(publicKey);
        signature.update(publicKey.getEncoded());
        if (!signature.verify(signed)) {
            throw new GeneralSecurityException("the private key does not match the certificate");
        }
    }

    private static String signatureFor(final String algorithm) {
        return switch (algorithm) {
            case "EC" -> "SHA256withECDSA";
            case "RSA" -> "SHA256withRSA";
            default -> algorithm;
        };
    }

    boolean hasSameBytes(final TlsMaterial other) {
        return Arrays.equals(mCertificate, other.mCertificate)
                && Arrays.equals(mKey, other.mKey)
                && Arrays.equals(mTrust, other.mTrust);
    }

    SslContext server() {
        return mServer;
    }

    SslContext client() {
        return mClient;
    }
}
