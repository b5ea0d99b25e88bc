package org.whinhead.peer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the newest TLS material that was whole. */
final class TlsSource {

    private static final Logger LOGGER = LoggerFactory.getLogger(TlsSource.class);

    private final PeerTlsFiles mFiles;
    private final PeerCounters mCounters;
    private volatile TlsMaterial mMaterial;
    private volatile boolean mFailing;

    TlsSource(final PeerTlsFiles files, final PeerCounters counters) throws PeerException {
        mFiles = files;
        mCounters = counters;
        mMaterial = TlsMaterial.load(files);
    }

    TlsMaterial material() {
        return mMaterial;
    }

    /** Reads the files; connections made from then on use what they hold. */
    void reload() {
        try {
            final TlsMaterial read = TlsMaterial.load(mFiles);
            mFailing = false;
            if (!read.hasSameBytes(mMaterial)) {
                mMaterial = read;
                mCounters.countReload();
                LOGGER.info("New connections use the replaced certificate {}", mFiles);
            }
        } catch (final PeerException e) {
            mCounters.countReloadFailure();
            if (!mFailing) {
                LOGGER.warn("Keeping the certificate in use: {}", e.getMessage(), e);
            }
            mFailing = true;
        }
    }
}
