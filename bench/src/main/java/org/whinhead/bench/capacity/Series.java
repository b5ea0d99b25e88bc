package org.whinhead.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The measurements of one cost at several sizes, with their linear fit. */
final class Series {

    private final String mName;
    private final String mSizeUnit;
    private final String mFigureUnit;
    private final List<LinearFit.Point> mPoints = new ArrayList<>();
    private final List<Spread> mSpreads = new ArrayList<>();

    /**
     * Creates an empty series.
     *
     * @param name the measured operation or object
     * @param sizeUnit the unit of the size
     * @param figureUnit the unit of the figures
     */
    Series(final String name, final String sizeUnit, final String figureUnit) {
        mName = name;
        mSizeUnit = sizeUnit;
        mFigureUnit = figureUnit;
    }

    void add(final double size, final Spread spread) {
        mPoints.add(new LinearFit.Point(size, spread.median()));
        mSpreads.add(spread);
    }

    String toText() {
        final StringBuilder text = new StringBuilder();
        text.append(String.format("%s, %s by %s%n", mName, mFigureUnit, mSizeUnit));
        for (int i = 0; i < mSpreads.size(); i++) {
            text.append(row(mPoints.get(i).size(), mSpreads.get(i)));
        }
        final LinearFit fit = LinearFit.of(mPoints);
        return text.append(
                        String.format(
                                Locale.ROOT,
                                "  fit: %.3f + %.5f a unit, r2 %.3f%n",
                                fit.fixed(),
                                fit.slope(),
                                fit.determination()))
                .toString();
    }

    private static String row(final double size, final Spread spread) {
        return String.format(
                Locale.ROOT,
                "  %10.0f  %14.2f  (%.2f to %.2f)%n",
                size,
                spread.median(),
                spread.least(),
                spread.greatest());
    }

    ObjectNode toJson() {
        final ObjectNode node = new ObjectMapper().createObjectNode();
        node.put("what", mName).put("size", mSizeUnit).put("unit", mFigureUnit);
        final ArrayNode rows = node.putArray("rows");
        for (int i = 0; i < mSpreads.size(); i++) {
            final Spread spread = mSpreads.get(i);
            rows.addObject()
                    .put("size", mPoints.get(i).size())
                    .put("least", spread.least())
                    .put("median", spread.median())
                    .put("greatest", spread.greatest());
        }
        final LinearFit fit = LinearFit.of(mPoints);
        node.put("fixed", fit.fixed()).put("slope", fit.slope());
        return node.put("determination", fit.determination());
    }
}
