package org.whinhead.gateway.exchange;

/** The ways in which a stream continues at another endpoint after its first event. */
enum StreamContinuation {
    /** This daemon sends the request to another endpoint after a failure, within one response. */
    FAILOVER,
    /** The run was moved off a leaving endpoint. */
    MOVE,
    /** The caller resumes the stream with another request. */
    CALLER
}
