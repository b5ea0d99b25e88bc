package org.whinhead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints the output of a command, as JSON for scripts or as text and tables for people. */
public final class Console {

    private static final String COLUMN_SEPARATOR = "  ";

    private final PrintStream mOut;
    private final PrintStream mErr;
    private final boolean mJson;

    /**
     * Creates a console.
     *
     * @param out the standard output
     * @param err the standard error
     * @param json whether the output is JSON
     */
    public Console(final PrintStream out, final PrintStream err, final boolean json) {
        mOut = out;
        mErr = err;
        mJson = json;
    }

    /** Returns whether the output is JSON. */
    public boolean isJson() {
        return mJson;
    }

    /**
     * Prints an indented JSON document.
     *
     * @param node the document
     */
    public void json(final JsonNode node) {
        mOut.println(node.toPrettyString());
    }

    /**
     * Prints a text unchanged.
     *
     * @param text the text, including the line break at its end
     */
    public void text(final String text) {
        mOut.print(text);
        mOut.flush();
    }

    /**
     * Prints a line, or nothing in JSON mode.
     *
     * @param messageKey the key of the message
     * @param arguments the values for the placeholders of the message
     */
    public void line(final String messageKey, final Object... arguments) {
        if (!mJson) {
            mOut.println(CliMessages.text(messageKey, arguments));
        }
    }

    /**
     * Prints a line to the standard error, also in JSON mode.
     *
     * @param messageKey the key of the message
     * @param arguments the values for the placeholders of the message
     */
    public void note(final String messageKey, final Object... arguments) {
        mErr.println(CliMessages.text(messageKey, arguments));
    }

    /**
     * Prints a table.
     *
     * @param rows the rows, beginning with the column heads; all of the same length
     */
    public void table(final List<List<String>> rows) {
        final List<Integer> widths = widths(rows);
        for (final List<String> row : rows) {
            final StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i)).append(" ".repeat(widths.get(i) - row.get(i).length()));
                line.append(COLUMN_SEPARATOR);
            }
            mOut.println(line.toString().stripTrailing());
        }
    }

    private static List<Integer> widths(final List<List<String>> rows) {
        final List<Integer> widths = new ArrayList<>();
        for (int i = 0; i < rows.get(0).size(); i++) {
            final int column = i;
            widths.add(rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0));
        }
        return widths;
    }
}
