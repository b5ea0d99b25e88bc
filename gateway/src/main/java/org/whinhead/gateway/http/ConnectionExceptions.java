package org.whinhead.gateway.http;

import java.io.IOException;
import org.slf4j.Logger;

/** Logs the exceptions that end connections. */
public final class ConnectionExceptions {

    private ConnectionExceptions() {}

    /**
     * Logs an exception: a connection that the other side reset for debugging only, and anything
     * else as an error of this program, with its stack trace.
     *
     * @param logger the logger of the class that handles the connection
     * @param connection the kind of connection, for the message
     * @param cause the exception
     */
    public static void log(final Logger logger, final String connection, final Throwable cause) {
        if (cause instanceof IOException) {
            logger.atDebug()
                    .addKeyValue("connection", connection)
                    .addKeyValue("cause", cause.toString())
                    .log("connection lost");
        } else {
            logger.atError()
                    .addKeyValue("connection", connection)
                    .setCause(cause)
                    .log("connection closed after an exception");
        }
    }
}
