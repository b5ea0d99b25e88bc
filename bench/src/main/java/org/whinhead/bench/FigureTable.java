package org.whinhead.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Rows of figures under named columns, printed for people or as JSON. */
public final class FigureTable {

    private static final int LABEL_WIDTH = 24;
    private static final int FIGURE_WIDTH = 16;

    private final String mTitle;
    private final List<String> mColumns;
    private final List<Row> mRows = new ArrayList<>();

    /**
     * Makes an empty table.
     *
     * @param title what the rows are
     * @param columns the names of the figures, with their units
     */
    public FigureTable(final String title, final String... columns) {
        mTitle = title;
        mColumns = List.of(columns);
    }

    /**
     * Adds a row.
     *
     * @param label what the figures belong to
     * @param figures one for each column
     */
    public void add(final String label, final double... figures) {
        if (figures.length != mColumns.size()) {
            throw new IllegalArgumentException(label + ": " + figures.length + " figures");
        }
        mRows.add(new Row(label, figures.clone()));
    }

    /**
     * Prints the table.
     *
     * @param options the form
     * @param out where to
     */
    public void print(final BenchOptions options, final PrintStream out) {
        if (options.json()) {
            out.println(toJson());
        } else {
            printText(out);
        }
    }

    private void printText(final PrintStream out) {
        out.print(pad(mTitle, -LABEL_WIDTH));
        mColumns.forEach(column -> out.print(pad(column, FIGURE_WIDTH)));
        out.println();
        for (final Row row : mRows) {
            out.print(pad(row.label(), -LABEL_WIDTH));
            Arrays.stream(row.figures())
                    .mapToObj(figure -> String.format(Locale.ROOT, "%.2f", figure))
                    .forEach(figure -> out.print(pad(figure, FIGURE_WIDTH)));
            out.println();
        }
        out.println();
    }

    private ObjectNode toJson() {
        final ObjectNode table = new ObjectMapper().createObjectNode();
        table.put("title", mTitle);
        final ArrayNode rows = table.putArray("rows");
        for (final Row row : mRows) {
            final ObjectNode node = rows.addObject();
            node.put("label", row.label());
            for (int i = 0; i < row.figures().length; i++) {
                node.put(mColumns.get(i), row.figures()[i]);
            }
        }
        return table;
    }

    private static String pad(final String text, final int width) {
        return String.format(Locale.ROOT, "%" + width + "s", text);
    }

    /** One line of figures. */
    private record Row(String label, double[] figures) {}
}
