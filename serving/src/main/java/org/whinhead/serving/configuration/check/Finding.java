package org.whinhead.serving.configuration.check;

import java.util.Objects;

/**
 * One result of a check.
 *
 * @param severity how serious it is
 * @param path the path of the entry
 * @param rule the key of the message, stable for scripts
 * @param message what is wrong
 * @param advice what to do
 */
public record Finding(Severity severity, String path, String rule, String message, String advice) {

    /** Checks the components. */
    public Finding {
        Objects.requireNonNull(severity, "severity");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(rule, "rule");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(advice, "advice");
    }
}
