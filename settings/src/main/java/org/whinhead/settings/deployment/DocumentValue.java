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

/** Typed content of a document; references to other documents remain unresolved paths. */
public sealed interface DocumentValue {

    /**
     * Budget of a team and the failure domains that it may use.
     *
     * @param team the team
     * @param tokensPerSecond generated tokens per second over all customers of the team
     * @param domains the failure domains that the team's requests may run in
     * @param costPerHour the maximum cost per hour of the team's share of VMs
     */
    record Budget(
            TeamId team, long tokensPerSecond, List<FailureDomain> domains, BigDecimal costPerHour)
            implements DocumentValue {
        /** Creates the value with a copy of the list. */
        public Budget {
            domains = List.copyOf(domains);
        }
    }

    /**
     * A customer, with its tier as a reference.
     *
     * @param id the customer's identifier
     * @param team the team whose subtree contains the document
     * @param tier the path of its tier
     * @param keyHashes SHA-256 hashes of its keys, in lower-case hex
     * @param weight weight relative to the other customers of the tier
     * @param tokensPerSecond its budget of generated tokens per second
     */
    record CustomerEntry(
            CustomerId id,
            TeamId team,
            DocumentPath tier,
            List<String> keyHashes,
            int weight,
            long tokensPerSecond)
            implements DocumentValue {
        /** Creates the value with a copy of the list. */
        public CustomerEntry {
            keyHashes = List.copyOf(keyHashes);
        }
    }

    /**
     * A tier and its service level objectives.
     *
     * @param tier the tier with its priority and latency targets
     * @param latencyShare the share (0 to 1) of requests that must meet the latency targets
     * @param availabilityShare the share (0 to 1) of requests that must receive a complete response
     * @param window the duration over which both shares are measured
     */
    record TierEntry(Tier tier, double latencyShare, double availabilityShare, Duration window)
            implements DocumentValue {}

    /**
     * A version of a model.
     *
     * @param model the name and version, without adapter
     * @param weightsBytes the size of its weights, in bytes
     * @param adapters the adapters that requests may name
     * @param contextTokens the maximum number of tokens of prompt and response together
     * @param targetShare its share of the model's requests, relative to other versions
     */
    record ModelEntry(
            ModelRef model,
            long weightsBytes,
            List<String> adapters,
            int contextTokens,
            double targetShare)
            implements DocumentValue {
        /** Creates the value with a copy of the list. */
        public ModelEntry {
            adapters = List.copyOf(adapters);
        }
    }

    /**
     * A plain service.
     *
     * @param name the name of the service
     * @param timeout the maximum duration of a call
     * @param pathTimeouts timeouts that replace the default for a path and all paths below it
     * @param nonIdempotentPaths the paths, with all paths below them, that may run at most once
     */
    record ServiceEntry(
            String name,
            Duration timeout,
            Map<String, Duration> pathTimeouts,
            List<String> nonIdempotentPaths)
            implements DocumentValue {
        /** Creates the value with copies of the collections. */
        public ServiceEntry {
            pathTimeouts = Map.copyOf(pathTimeouts);
            nonIdempotentPaths = List.copyOf(nonIdempotentPaths);
        }

        /**
         * Returns whether a call may run more than once.
         *
         * @param path the path after the service's name, with or without a leading slash
         * @return true if the path is canonical and no listed path covers it
         */
        public boolean isIdempotent(final String path) {
            return ServicePaths.isCanonical(path)
                    && nonIdempotentPaths.stream()
                            .noneMatch(listed -> ServicePaths.covers(listed, path));
        }

        /**
         * Returns the maximum duration of a call.
         *
         * @param path the path after the service's name
         * @return the timeout of the longest listed path that covers it, or {@code timeout}
         */
        public Duration timeoutFor(final String path) {
            return pathTimeouts.entrySet().stream()
                    .filter(entry -> ServicePaths.covers(entry.getKey(), path))
                    .max(
                            Map.Entry.comparingByKey(
                                    (first, second) -> first.length() - second.length()))
                    .map(Map.Entry::getValue)
                    .orElse(timeout);
        }
    }

    /**
     * A failure domain and the minimum number of VMs that must run there.
     *
     * @param domain the failure domain
     * @param minimum the minimum number of VMs, by name of the machine class
     */
    record DomainEntry(FailureDomain domain, Map<String, Integer> minimum)
            implements DocumentValue {
        /** Creates the value with a copy of the map. */
        public DomainEntry {
            minimum = Map.copyOf(minimum);
        }
    }

    /**
     * A machine class.
     *
     * @param name the name of the class in the cloud
     * @param role the role of its VMs: {@code entry}, {@code engine} or {@code service}
     * @param slots the number of requests that one VM processes concurrently
     */
    record MachineClassEntry(String name, String role, int slots) implements DocumentValue {}

    /**
     * Source of VMs for a pool.
     *
     * @param domain the failure domain
     * @param machineClass the machine class
     * @param billing the billing mode
     */
    record SupplyEntry(FailureDomain domain, String machineClass, Billing billing) {}

    /**
     * A pool of engines that serve the same model.
     *
     * @param name the name of the pool
     * @param model the path of the model version that each engine serves
     * @param adapter the adapter applied to the model, if any
     * @param needed the number of VMs that must remain if the largest failure domain is lost
     * @param supplies the sources from which VMs may be bought
     */
    record PoolEntry(
            String name,
            DocumentPath model,
            Optional<String> adapter,
            int needed,
            List<SupplyEntry> supplies)
            implements DocumentValue {
        /** Creates the value with a copy of the list. */
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
     * Limits on the rate of change of the fleet.
     *
     * @param firstRest the initial backoff of a supply after the cloud refuses a start
     * @param weightBytesPerSecond the transfer rate of the weight store, in bytes per second
     * @param mostInTransition engines of a pool that may lack the wanted version during a rollout
     * @param mostStartsPerRound the maximum number of starts ordered in one round
     */
    record PaceEntry(
            Duration firstRest,
            long weightBytesPerSecond,
            int mostInTransition,
            int mostStartsPerRound)
            implements DocumentValue {}

    /**
     * Parameters of routing; costs are in expected time to the first token.
     *
     * @param strategy the strategy's name, for example {@code affinity}
     * @param costs the cost weights
     * @param failuresToSuspect consecutive failures after which an endpoint is suspected
     * @param cooldown the wait before the first probe of a suspected endpoint
     * @param probeTimeout the time for which a probe without an outcome blocks further probes
     */
    record RoutingEntry(
            String strategy,
            RoutingCosts costs,
            int failuresToSuspect,
            Duration cooldown,
            Duration probeTimeout)
            implements DocumentValue {}

    /**
     * Cost weights of a routing decision, in milliseconds unless stated otherwise.
     *
     * @param otherDomainMillis the cost of an endpoint in another failure domain of the region
     * @param otherRegionMillis the cost of an endpoint in another region
     * @param onDemandMillis the cost of an endpoint that is billed on demand
     * @param fullBatchMillis the cost of a batch with every slot in use, relative to an empty batch
     * @param queuedMillis the cost of each request that waits for a slot
     * @param prefillMicrosPerToken the cost of a prompt token not in the cache, in microseconds
     * @param loadFactor the factor of the mean load up to which affinity may load an endpoint
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
     * Parameters of retries.
     *
     * @param maxDispatches the maximum number of dispatches of one request
     * @param firstBackoff the backoff before the first retry
     * @param maxBackoff the longest backoff between two attempts
     * @param retryShare the number of retries allowed per first dispatch
     * @param retryBurst the largest number of retries that the retry budget can accumulate
     * @param patience the longest time that a request waits for an endpoint or for the retry budget
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
