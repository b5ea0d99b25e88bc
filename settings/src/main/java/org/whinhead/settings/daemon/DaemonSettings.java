package org.whinhead.settings.daemon;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.VmId;

/**
 * The settings of one daemon process.
 *
 * @param name the daemon's name, unique in the deployment
 * @param vm the VM that it runs on
 * @param domain the failure domain that it stands in
 * @param listen the addresses that it listens on
 * @param publicUri the address that callers are told
 * @param platform where the platform's services are
 * @param seeds peers to ask first, by their peer address
 * @param tls the files for TLS; empty for plain connections
 * @param limits how much it takes on
 * @param gracefulStop the longest time that a planned stop waits for requests in progress
 * @param operators the keys of those who may read and change settings
 */
public record DaemonSettings(
        String name,
        VmId vm,
        FailureDomain domain,
        ListenAddresses listen,
        URI publicUri,
        PlatformUris platform,
        List<HostPort> seeds,
        Optional<TlsFiles> tls,
        DaemonLimits limits,
        Duration gracefulStop,
        List<OperatorKey> operators) {

    /** Checks every part and copies the lists. */
    public DaemonSettings {
        Arguments.requireText(name, "name");
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(listen, "listen");
        Objects.requireNonNull(publicUri, "publicUri");
        Objects.requireNonNull(platform, "platform");
        seeds = List.copyOf(seeds);
        Objects.requireNonNull(tls, "tls");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(gracefulStop, "gracefulStop");
        operators = List.copyOf(operators);
    }

    /**
     * Finds the operator who holds a key.
     *
     * @param key the key as the operator sent it
     * @return the operator's entry, or empty if nobody holds the key
     */
    public Optional<OperatorKey> operator(final String key) {
        return operators.stream().filter(operator -> operator.matches(key)).findFirst();
    }

    /**
     * Starts a builder.
     *
     * @param name the daemon's name
     * @return the builder
     */
    public static Builder builder(final String name) {
        return new Builder(name);
    }

    /** Builds {@link DaemonSettings}. */
    public static final class Builder {
        private static final Duration DEFAULT_GRACEFUL_STOP = Duration.ofSeconds(20);

        private final String mName;
        private VmId mVm;
        private FailureDomain mDomain;
        private ListenAddresses mListen;
        private URI mPublicUri;
        private PlatformUris mPlatform;
        private List<HostPort> mSeeds = List.of();
        private Optional<TlsFiles> mTls = Optional.empty();
        private DaemonLimits mLimits = DaemonLimits.DEFAULT;
        private Duration mGracefulStop = DEFAULT_GRACEFUL_STOP;
        private List<OperatorKey> mOperators = List.of();

        private Builder(final String name) {
            mName = name;
        }

        /** Sets the VM that the daemon runs on. */
        public Builder vm(final VmId vm) {
            mVm = vm;
            return this;
        }

        /** Sets the failure domain that it stands in. */
        public Builder domain(final FailureDomain domain) {
            mDomain = domain;
            return this;
        }

        /** Sets the addresses that it listens on. */
        public Builder listen(final ListenAddresses listen) {
            mListen = listen;
            return this;
        }

        /** Sets the address that callers are told. */
        public Builder publicUri(final URI publicUri) {
            mPublicUri = publicUri;
            return this;
        }

        /** Sets where the platform's services are. */
        public Builder platform(final PlatformUris platform) {
            mPlatform = platform;
            return this;
        }

        /** Sets the peers to ask first. */
        public Builder seeds(final List<HostPort> seeds) {
            mSeeds = seeds;
            return this;
        }

        /** Sets the files for TLS. */
        public Builder tls(final Optional<TlsFiles> tls) {
            mTls = tls;
            return this;
        }

        /** Sets how much it takes on. */
        public Builder limits(final DaemonLimits limits) {
            mLimits = limits;
            return this;
        }

        /** Sets the longest time that a planned stop waits. */
        public Builder gracefulStop(final Duration gracefulStop) {
            mGracefulStop = gracefulStop;
            return this;
        }

        /** Sets the operators' keys. */
        public Builder operators(final List<OperatorKey> operators) {
            mOperators = operators;
            return this;
        }

        /** Builds the settings. */
        public DaemonSettings build() {
            return new DaemonSettings(
                    mName,
                    mVm,
                    mDomain,
                    mListen,
                    mPublicUri,
                    mPlatform,
                    mSeeds,
                    mTls,
                    mLimits,
                    mGracefulStop,
                    mOperators);
        }
    }
}
