package org.whinhead.serving.configuration.check;

/** Fields of entries that findings point to. */
public enum EntryField {
    /** The name of an entry. */
    NAME,
    /** The host of a route. */
    HOST,
    /** The path prefix of a route. */
    PATH_PREFIX,
    /** The kind of a route. */
    KIND,
    /** Whether a route needs no key. */
    KEYLESS,
    /** Whether the streams of a route can be resumed. */
    RESUMABLE,
    /** The timeout of a route. */
    TIMEOUT,
    /** The target latency of a route. */
    TARGET_LATENCY,
    /** The priority of a route or customer. */
    PRIORITY,
    /** The number of attempts of a route. */
    MAX_ATTEMPTS,
    /** The services of a route. */
    SERVICES,
    /** The number of connections of an endpoint. */
    MAX_CONNECTIONS,
    /** The scaling limits of a service. */
    SCALING,
    /** The largest number of endpoints in a failure domain. */
    SCALING_MOST,
    /** The prices of the failure domains. */
    DOMAIN_PRICES,
    /** The relative price of reclaimable endpoints. */
    RECLAIMABLE_PRICE,
    /** The keys of a customer. */
    KEYS,
    /** The token rate of a customer. */
    RATE,
    /** The token burst of a customer. */
    BURST,
    /** The cost of a request that states none. */
    PLAIN_TOKENS,
    /** The largest request header. */
    MAX_HEADER,
    /** The largest request body. */
    MAX_BODY,
    /** The longest time for a header to arrive. */
    HEADER_TIMEOUT,
    /** The time after which an idle connection is closed. */
    IDLE_TIMEOUT,
    /** The version of the configuration. */
    VERSION
}
