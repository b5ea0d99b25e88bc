package org.whinhead.standins.load;

import java.util.List;

/**
 * A text table with aligned columns: the first column to the left, the others to the right.
 *
 * @param rows the rows, each with the same number of cells
 */
public record TextTable(List<List<String>> rows) {

    private static final String COLUMN_SEPARATOR = "  ";

    /** Copies the rows. */
    public TextTable {
        rows = rows.stream().map(List::copyOf).toList();
    }

    /** Returns one line of text for each row. */
    public List<String> lines() {
        return rows.stream().map(this::line).toList();
    }

    private String line(final List<String> cells) {
        final StringBuilder line = new StringBuilder();
        for (int column = 0; column < cells.size(); column++) {
            final String blanks = " ".repeat(width(column) - cells.get(column).length());
            if (column == 0) {
                line.append(cells.get(column)).append(blanks);
            } else {
                line.append(COLUMN_SEPARATOR).append(blanks).append(cells.get(column));
            }
        }
        return line.toString();
    }

    private int width(final int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
