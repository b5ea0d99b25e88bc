package org.whinhead.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Table of figures with labeled rows and named columns, printed as text or JSON. */
public final class FigureTable {

    private static final int LABEL_WIDTH = 24;
    private static final int FIGURE_WIDTH = 16;

    private final String mTitle;
    private final List<String> mColumns;
    private final List<Row> mRows = new ArrayList<>();

    /**
     * Creates an empty table.
     *
     * @param title heading of the row labels
     * @param columns column names, with their units
     */
    public FigureTable(final String title, final String... columns) {
        mTitle = title;
        mColumns = List.of(columns);
    }

    /**
     * Adds a row.
     *
     * @param label label of the row
     * @param figures one figure for each column
     * @throws IllegalArgumentException if the numbers of figures and columns differ
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
     * @param options output format
     * @param out receives the table
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

    /** A row of the table. */
    private record Row(String label, double[] figures) {}
}
