package org.whinhead.serving.configuration.check;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.whinhead.api.message.MessageBundle;

/** Collects findings, whose texts come from the messages file of this package. */
public final class Findings {

    private static final MessageBundle MESSAGES = MessageBundle.forPackageOf(Findings.class);
    private static final Pattern CONTROL_CHARACTER = Pattern.compile("\\p{Cntrl}");
    private static final int MAX_ARGUMENT_LENGTH = 200;

    private final List<Finding> mFindings = new ArrayList<>();

    /**
     * Adds a warning.
     *
     * @param path the path of the entry
     * @param rule the key of the message
     * @param arguments the values for the placeholders of the message
     */
    public void warn(final String path, final String rule, final Object... arguments) {
        add(Severity.WARNING, path, rule, arguments);
    }

    /**
     * Adds a finding.
     *
     * @param severity how serious it is
     * @param path the path of the entry
     * @param rule the key of the message
     * @param arguments the values for the placeholders of the message
     */
    public void add(
            final Severity severity,
            final String path,
            final String rule,
            final Object... arguments) {
        add(MESSAGES, severity, path, rule, arguments);
    }

    /**
     * Adds a finding with a text of another package.
     *
     * @param messages the texts
     * @param severity how serious it is
     * @param path the path of the entry
     * @param rule the key of the message
     * @param arguments the values for the placeholders of the message
     */
    public void add(
            final MessageBundle messages,
            final Severity severity,
            final String path,
            final String rule,
            final Object... arguments) {
        final Object[] printable =
                Stream.of(arguments).map(value -> printable(String.valueOf(value))).toArray();
        mFindings.add(
                new Finding(
                        severity,
                        clean(path),
                        rule,
                        messages.text(rule + ".message", printable),
                        messages.text(rule + ".advice", printable)));
    }

    /**
     * Returns the findings in the order in which they were added.
     *
     * @return a copy
     */
    public List<Finding> list() {
        return List.copyOf(mFindings);
    }

    /**
     * Makes a text from a configuration safe to print: control characters would change the
     * operator's terminal, and a long value would hide the rest of the message.
     */
    private static String printable(final String text) {
        final String clean = clean(text);
        return clean.length() <= MAX_ARGUMENT_LENGTH
                ? clean
                : clean.substring(0, MAX_ARGUMENT_LENGTH) + "...";
    }

    private static String clean(final String text) {
        return CONTROL_CHARACTER.matcher(text).replaceAll("?");
    }
}
