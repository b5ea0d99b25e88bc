package org.whinhead.settings.deployment;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.model.Tier;

/** What a document says, typed; paths to other documents are kept as they stand. */
public sealed interface DocumentValue {

    /**
     * What a team may spend and where.
     *
     * @param team the team
     * @param tokensPerSecond generated tokens a second over all its customers
     * @param domains the failure domains that its requests may run in
     * @param costPerHour the most that its share of VMs may cost an hour
     */
    record Budget(
            TeamId team, long tokensPerSecond, List<FailureDomain> domains, BigDecimal costPerHour)
            implements DocumentValue {
        /** Copies the list. */
        public Budget {
            domains = List.copyOf(domains);
        }
    }

    /**
     * A customer as its document states it.
     *
     * @param id the customer
     * @param team the team whose subtree holds it
     * @param tier the path of its tier
     * @param keyHashes hashes of its keys in hex
     * @param weight its share against other customers of the tier
     * @param tokensPerSecond its budget of generated tokens a second
     */
    record CustomerEntry(
            CustomerId id,
            TeamId team,
            DocumentPath tier,
            List<String> keyHashes,
            int weight,
            long tokensPerSecond)
            implements DocumentValue {
        /** Copies the list. */
        public CustomerEntry {
            keyHashes = List.copyOf(keyHashes);
        }
    }

    /**
     * A tier with what is promised over time.
     *
     * @param tier priority and targets
     * @param latencyShare the share of requests that must meet the targets
     * @param availabilityShare the share of requests that must get a whole answer
     * @param window the time over which both shares count
     */
    record TierEntry(Tier tier, double latencyShare, double availabilityShare, Duration window)
            implements DocumentValue {}

    /**
     * A version of a model.
     *
     * @param model name and version
     * @param weightsBytes the size of its weights
     * @param adapters the adapters that may be asked for with it
     * @param contextTokens the most tokens of prompt and answer together
     * @param targetShare its part of the model's requests, relative to the other versions
     */
    record ModelEntry(
            ModelRef model,
            long weightsBytes,
            List<String> adapters,
            int contextTokens,
            double targetShare)
            implements DocumentValue {
        /** Copies the list. */
        public ModelEntry {
            adapters = List.copyOf(adapters);
        }
    }

    /**
     * A plain service.
     *
     * @param name the service
     * @param timeout how long a call may take
     * @param pathTimeouts other timeouts for some paths with all below them
     * @param nonIdempotentPaths the paths, with all below them, that may run at most once
     */
    record ServiceEntry(
            String name,
            Duration timeout,
            Map<String, Duration> pathTimeouts,
            List<String> nonIdempotentPaths)
            implements DocumentValue {
        /** Copies the collections. */
        public ServiceEntry {
            pathTimeouts = Map.copyOf(pathTimeouts);
            nonIdempotentPaths = List.copyOf(nonIdempotentPaths);
        }

        /**
         * Tells whether a call may run more than once.
         *
         * @param path the path after the service's name, with or without a leading slash
         * @return true if no listed path covers it
         */
        public boolean isIdempotent(final String path) {
            return ServicePaths.isCanonical(path)
                    && nonIdempotentPaths.stream()
                            .noneMatch(listed -> ServicePaths.covers(listed, path));
        }

        /**
         * Returns how long a call may take.
         *
         * @param path the path after the service's name
         * @return the timeout of the longest listed path that covers it, or the service's
         */
        public Duration timeoutFor(final String path) {
            return pathTimeouts.entrySet().stream()
                    .filter(entry -> ServicePaths.covers(entry.getKey(), path))
                    .max(Map.Entry.comparingByKey((a, b) -> a.length() - b.length()))
                    .map(Map.Entry::getValue)
                    .orElse(timeout);
        }
    }

    /**
     * A failure domain and the least that must run there.
     *
     * @param domain the failure domain
     * @param minimum VMs of each machine class
     */
    record DomainEntry(FailureDomain domain, Map<String, Integer> minimum)
            implements DocumentValue {
        /** Copies the map. */
        public DomainEntry {
            minimum = Map.copyOf(minimum);
        }
    }

    /**
     * A machine class.
     *
     * @param name the cloud's name for it
     * @param role what runs on it: {@code entry}, {@code engine} or {@code service}
     * @param slots requests that one VM works on at once
     */
    record MachineClassEntry(String name, String role, int slots) implements DocumentValue {}

    /**
     * One way to buy VMs of a pool.
     *
     * @param domain the failure domain
     * @param machineClass the machine class
     * @param billing how they are paid for
     */
    record SupplyEntry(FailureDomain domain, String machineClass, Billing billing) {}

    /**
     * A pool of like engines.
     *
     * @param name the pool
     * @param model the path of the model version that each serves
     * @param adapter the adapter on top of it
     * @param needed VMs that must remain after the largest domain is lost
     * @param supplies what may be bought
     */
    record PoolEntry(
            String name,
            DocumentPath model,
            Optional<String> adapter,
            int needed,
            List<SupplyEntry> supplies)
            implements DocumentValue {
        /** Copies the list. */
        public PoolEntry {
            Objects.requireNonNull(adapter, "adapter");
            supplies = List.copyOf(supplies);
        }

        /** Returns the model that each engine of the pool serves. */
        public ModelRef modelRef() {
            return new ModelRef(model.segment(1), model.segment(2), adapter);
        }
    }

    /**
     * How fast the fleet may change.
     *
     * @param firstRest how long a refused way to buy rests at first
     * @param weightBytesPerSecond the weight store's rate
     * @param mostInTransition engines of a pool without the wanted version at once in a rollout
     * @param mostStartsPerRound starts ordered in one round
     */
    record PaceEntry(
            Duration firstRest,
            long weightBytesPerSecond,
            int mostInTransition,
            int mostStartsPerRound)
            implements DocumentValue {}

    /**
     * Tunables of routing; costs are milliseconds of expected time to the first token.
     *
     * @param strategy the strategy's name, for example {@code affinity}
     * @param costs each cost by name
     * @param failuresToSuspect failures in a row that make an endpoint suspect
     * @param cooldown the wait before the first probe
     * @param probeTimeout how long a probe without an outcome keeps others out
     */
    record RoutingEntry(
            String strategy,
            RoutingCosts costs,
            int failuresToSuspect,
            Duration cooldown,
            Duration probeTimeout)
            implements DocumentValue {}

    /**
     * What the parts of a routing decision cost.
     *
     * @param otherDomainMillis an endpoint of another failure domain of the region
     * @param otherRegionMillis an endpoint of another region
     * @param onDemandMillis an endpoint that is billed on demand
     * @param fullBatchMillis a batch with every slot taken, against an empty one
     * @param queuedMillis each request that waits for a slot
     * @param prefillMicrosPerToken each prompt token that is not in the cache
     * @param loadFactor how far above the mean load affinity may fill an endpoint
     */
    record RoutingCosts(
            double otherDomainMillis,
            double otherRegionMillis,
            double onDemandMillis,
            double fullBatchMillis,
            double queuedMillis,
            double prefillMicrosPerToken,
            double loadFactor) {}

    /**
     * Tunables of retries.
     *
     * @param maxDispatches the most times that one request is sent out
     * @param firstBackoff the wait before the first retry
     * @param maxBackoff the longest wait between two tries
     * @param retryShare retries allowed for each first dispatch, as a share
     * @param retryBurst retries that may be saved up
     * @param patience how long a request waits for an endpoint or for the retry budget
     */
    record RetriesEntry(
            int maxDispatches,
            Duration firstBackoff,
            Duration maxBackoff,
            double retryShare,
            int retryBurst,
            Duration patience)
            implements DocumentValue {}
}
