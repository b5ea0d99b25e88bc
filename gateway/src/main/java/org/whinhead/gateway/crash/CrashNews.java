package org.whinhead.gateway.crash;

import java.util.List;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.FeatureAnswer;
import org.whinhead.serving.crash.RequestFeature;

/** Tells other daemons what this one has learned of requests under which endpoints crash. */
public interface CrashNews {

    /**
     * Tells of an endpoint that has crashed.
     *
     * @param crash the endpoint and the requests of this daemon that were on it
     */
    void endpointCrashed(EndpointCrash crash);

    /**
     * Tells of an answer.
     *
     * @param answer the suspected features of the answered request
     */
    void answered(FeatureAnswer answer);

    /**
     * Tells that a request is about to run.
     *
     * @param features the features of which no other daemon should start a request for a while
     * @param endpoint the id of its endpoint
     */
    void started(List<RequestFeature> features, String endpoint);
}
