package org.whinhead.peer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the newest valid TLS material and reloads it when the files change. */
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

    /** Reads the files; new connections use them if they are valid, else the previous ones. */
    void reload() {
        try {
            final TlsMaterial read = TlsMaterial.load(mFiles);
            mFailing = false;
            if (!read.hasSameBytes(mMaterial)) {
                mMaterial = read;
                mCounters.countReload();
                LOGGER.info("TLS files reloaded, new connections use {}", mFiles);
            }
        } catch (final PeerException e) {
            mCounters.countReloadFailure();
            if (!mFailing) {
                LOGGER.warn(
                        "TLS files not reloaded, keeping the previous ones: {}", e.getMessage(), e);
            }
            mFailing = true;
        }
    }
}
