package org.whinhead.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.whinhead.gateway.http.HttpReply;

/** Answers directory calls, by which callers learn the addresses of the daemons. */
public interface DirectoryProtocol {

    /**
     * Returns the response to a directory call.
     *
     * @param target the path and query of the call
     * @param addresses returns the daemons' addresses for a caller in the given failure domain
     * @param cacheTime the time for which the caller may cache the response
     * @return the response
     */
    HttpReply answer(
            String target, Function<String, List<InetSocketAddress>> addresses, Duration cacheTime);
}
