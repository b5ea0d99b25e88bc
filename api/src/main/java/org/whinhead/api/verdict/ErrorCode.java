package org.whinhead.api.verdict;

import java.util.Locale;

/** Error code of a failed or refused request; its text is looked up by its message key. */
public enum ErrorCode {
    /** The body is not well-formed JSON or lacks a required field. */
    MALFORMED_REQUEST(400),
    /** The key is missing or matches no customer. */
    UNKNOWN_KEY(401),
    /** No model or service with the requested name is configured. */
    UNKNOWN_TARGET(404),
    /** The path or method is not served. */
    UNKNOWN_PATH(404),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(413),
    /** The customer's budget is spent for now. */
    BUDGET_SPENT(429),
    /** The latency target cannot be met, or requests of the tier are being shed. */
    OVERLOADED(503),
    /** No suitable endpoint accepts new requests. */
    NO_ENDPOINT(503),
    /** The daemon is stopping and accepts no new requests. */
    STOPPING(503),
    /** A non-idempotent request could not be claimed because the log is unreachable. */
    CLAIM_UNAVAILABLE(503),
    /** Another attempt has already claimed this non-idempotent request. */
    ALREADY_CLAIMED(409),
    /** The endpoint responded with an error. */
    ENDPOINT_ERROR(502),
    /** The endpoint failed before the response was complete. */
    ENDPOINT_LOST(502),
    /** The deadline passed. */
    DEADLINE_PASSED(504),
    /** The retry budget is spent. */
    RETRIES_SPENT(503),
    /** A ticket is forged, expired or belongs to another caller. */
    BAD_TICKET(400),
    /** An internal error; the log has the details. */
    INTERNAL(500);

    private static final String KEY_PREFIX = "error.";

    private final int mStatus;

    ErrorCode(final int status) {
        mStatus = status;
    }

    /** Returns the HTTP status of a response with this code. */
    public int status() {
        return mStatus;
    }

    /** Returns the name used in response bodies, for example {@code budget-spent}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the key of the text in the messages file. */
    public String messageKey() {
        return KEY_PREFIX + wireName();
    }
}
