package org.whinhead.bench.capacity;

import java.util.List;

/**
 * The line through the figures at several sizes, by least squares.
 *
 * @param fixed the figure at size 0
 * @param slope what one more unit of size adds
 * @param determination share of the variance that the line explains; 1 is a straight line
 */
record LinearFit(double fixed, double slope, double determination) {

    static LinearFit of(final List<Point> points) {
        final double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        final double meanFigure = points.stream().mapToDouble(Point::figure).average().orElse(0);
        double sizes = 0;
        double figures = 0;
        double both = 0;
        for (final Point point : points) {
            final double size = point.size() - meanSize;
            final double figure = point.figure() - meanFigure;
            sizes += size * size;
            figures += figure * figure;
            both += size * figure;
        }
        final double slope = both / sizes;
        final double determination = figures == 0 ? 1 : both * both / (sizes * figures);
        return new LinearFit(meanFigure - slope * meanSize, slope, determination);
    }

    /** One size with its figure. */
    record Point(double size, double figure) {}
}
