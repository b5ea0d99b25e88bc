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
 * @param domain the failure domain that it belongs to
 * @param listen the addresses that it listens on
 * @param publicUri the URI that callers use to reach the daemon
 * @param platform the base URIs of the platform's services
 * @param seeds addresses of the peers to contact first
 * @param tls the files for TLS; empty for unencrypted connections
 * @param limits the resource limits
 * @param gracefulStop the longest time that a planned stop waits for requests in progress
 * @param operators the keys of the operators, who may read and change settings
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

    /** Validates the components and copies the lists. */
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
     * Returns the operator that has a key.
     *
     * @param key the key as the operator sent it
     * @return the operator's entry, or empty if no operator has the key
     */
    public Optional<OperatorKey> operator(final String key) {
        return operators.stream().filter(operator -> operator.matches(key)).findFirst();
    }

    /**
     * Returns a builder.
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

        /** Sets the failure domain that the daemon belongs to. */
        public Builder domain(final FailureDomain domain) {
            mDomain = domain;
            return this;
        }

        /** Sets the addresses that the daemon listens on. */
        public Builder listen(final ListenAddresses listen) {
            mListen = listen;
            return this;
        }

        /** Sets the URI that callers use to reach the daemon. */
        public Builder publicUri(final URI publicUri) {
            mPublicUri = publicUri;
            return this;
        }

        /** Sets the base URIs of the platform's services. */
        public Builder platform(final PlatformUris platform) {
            mPlatform = platform;
            return this;
        }

        /** Sets the addresses of the peers to contact first. */
        public Builder seeds(final List<HostPort> seeds) {
            mSeeds = seeds;
            return this;
        }

        /** Sets the files for TLS. */
        public Builder tls(final Optional<TlsFiles> tls) {
            mTls = tls;
            return this;
        }

        /** Sets the resource limits. */
        public Builder limits(final DaemonLimits limits) {
            mLimits = limits;
            return this;
        }

        /** Sets the longest time that a planned stop waits for requests in progress. */
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
