package org.whinhead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Where a command's answer goes: JSON for scripts or tables for people. */
public final class Console {

    private static final String GAP = "  ";

    private final PrintStream mOut;
    private final PrintStream mErr;
    private final boolean mJson;

    /**
     * Makes a console.
     *
     * @param out the standard output
     * @param err the standard error
     * @param json whether answers are printed as JSON
     */
    public Console(final PrintStream out, final PrintStream err, final boolean json) {
        mOut = out;
        mErr = err;
        mJson = json;
    }

    /** Tells whether answers are printed as JSON. */
    public boolean isJson() {
        return mJson;
    }

    /**
     * Prints a JSON document on several lines.
     *
     * @param node the document
     */
    public void json(final JsonNode node) {
        mOut.println(node.toPrettyString());
    }

    /**
     * Prints a text as it is.
     *
     * @param text the text, which ends its last line itself
     */
    public void text(final String text) {
        mOut.print(text);
        mOut.flush();
    }

    /**
     * Prints a line for people; nothing in JSON mode.
     *
     * @param messageKey the key of the text
     * @param arguments the values for its places
     */
    public void line(final String messageKey, final Object... arguments) {
        if (!mJson) {
            mOut.println(CliMessages.text(messageKey, arguments));
        }
    }

    /**
     * Prints a line beside the answer, also in JSON mode.
     *
     * @param messageKey the key of the text
     * @param arguments the values for its places
     */
    public void note(final String messageKey, final Object... arguments) {
        mErr.println(CliMessages.text(messageKey, arguments));
    }

    /**
     * Prints a table.
     *
     * @param rows the rows, the first being the heads; all of one length
     */
    public void table(final List<List<String>> rows) {
        final List<Integer> widths = widths(rows);
        for (final List<String> row : rows) {
            final StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i)).append(" ".repeat(widths.get(i) - row.get(i).length()));
                line.append(GAP);
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
