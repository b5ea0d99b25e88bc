package org.whinhead.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.whinhead.gateway.http.HttpReply;

/** How callers ask which addresses to use. */
public interface DirectoryProtocol {

    /**
     * Answers a caller.
     *
     * @param target path and query of its call
     * @param addresses gives the addresses for a failure domain
     * @param keep how long the caller may keep the answer
     * @return the answer
     */
    HttpReply answer(
            String target, Function<String, List<InetSocketAddress>> addresses, Duration keep);
}
