package org.whinhead.bench.capacity;

import java.util.List;

/**
 * A least-squares line through the figures at several sizes.
 *
 * @param fixed intercept: the figure at size 0
 * @param slope change of the figure per unit of size
 * @param determination share of the variance that the line explains (R squared, 0 to 1)
 */
record LinearFit(double fixed, double slope, double determination) {

    static LinearFit of(final List<Point> points) {
        final double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        final double meanFigure = points.stream().mapToDouble(Point::figure).average().orElse(0);
        double sizes = 0;
        double figures = 0;
        double products = 0;
        for (final Point point : points) {
            final double size = point.size() - meanSize;
            final double figure = point.figure() - meanFigure;
            sizes += size * size;
            figures += figure * figure;
            products += size * figure;
        }
        final double slope = products / sizes;
        final double determination = figures == 0 ? 1 : products * products / (sizes * figures);
        return new LinearFit(meanFigure - slope * meanSize, slope, determination);
    }

    /** A size and its measured figure. */
    record Point(double size, double figure) {}
}
