package org.whinhead.serving.configuration.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.whinhead.serving.route.Route;

/** Finds routes that a change adds, removes, moves or limits. */
final class RouteChanges {

    private final WrittenConfiguration mInForce;
    private final WrittenConfiguration mNext;
    private final Findings mFindings;
    private final NumberChange mLimits;

    RouteChanges(
            final WrittenConfiguration inForce,
            final WrittenConfiguration next,
            final Findings findings) {
        mInForce = inForce;
        mNext = next;
        mFindings = findings;
        mLimits = new NumberChange("limit-lowered", "limit-raised", findings);
    }

    /** Adds the findings. */
    void find() {
        final Map<String, Located<Route>> old = byMatch(mInForce);
        final Map<String, Located<Route>> next = byMatch(mNext);
        final Map<String, Located<Route>> nextNames = new HashMap<>();
        next.values().forEach(route -> nextNames.put(route.value().name(), route));
        final Set<String> moved = new HashSet<>();
        for (final Located<Route> route : mInForce.routes()) {
            final String match = RouteMatch.of(route.value());
            if (old.get(match) != route) {
                continue;
            }
            final Located<Route> same = next.get(match);
            final Located<Route> namesake = nextNames.get(route.value().name());
            if (same != null) {
                compare(route.value(), same);
            } else if (namesake != null && !old.containsKey(RouteMatch.of(namesake.value()))) {
                moved.add(RouteMatch.of(namesake.value()));
                addMoved(route.value(), namesake);
            } else {
                addRemoved(route);
            }
        }
        mNext.routes().stream()
                .filter(route -> next.get(RouteMatch.of(route.value())) == route)
                .filter(route -> !old.containsKey(RouteMatch.of(route.value())))
                .filter(route -> !moved.contains(RouteMatch.of(route.value())))
                .forEach(this::addNew);
    }

    /** Returns the routes that requests find: of two with the same match the later one. */
    private static Map<String, Located<Route>> byMatch(final WrittenConfiguration configuration) {
        final Map<String, Located<Route>> routes = new HashMap<>();
        configuration.routes().forEach(r -> routes.put(RouteMatch.of(r.value()), r));
        return routes;
    }

    private void addMoved(final Route old, final Located<Route> next) {
        mFindings.warn(
                next.field(EntryField.PATH_PREFIX),
                "route-moved",
                old.name(),
                old.host() + old.pathPrefix(),
                next.value().host() + next.value().pathPrefix());
        compare(old, next);
    }

    private void addRemoved(final Located<Route> route) {
        final Route old = route.value();
        mFindings.warn(
                route.path().text(), "route-removed", old.name(), old.host() + old.pathPrefix());
    }

    private void addNew(final Located<Route> route) {
        mFindings.add(Severity.NOTE, route.path().text(), "route-added", route.value().name());
    }

    private void compare(final Route old, final Located<Route> located) {
        final Route next = located.value();
        if (!old.services().equals(next.services())) {
            mFindings.warn(
                    located.field(EntryField.SERVICES),
                    "route-services-changed",
                    next.name(),
                    ServiceShares.text(old),
                    ServiceShares.text(next));
        }
        if (old.kind() != next.kind()) {
            mFindings.warn(
                    located.field(EntryField.KIND),
                    "route-kind-changed",
                    next.name(),
                    old.kind(),
                    next.kind());
        }
        if (old.kind() == next.kind() && old.canRunAgain() && !next.canRunAgain()) {
            mFindings.warn(located.field(EntryField.RESUMABLE), "route-not-resumable", next.name());
        }
        if (old.isKeyless() && !next.isKeyless()) {
            mFindings.warn(located.field(EntryField.KEYLESS), "route-needs-key", next.name());
        }
        compareNumbers(old, located);
    }

    private void compareNumbers(final Route old, final Located<Route> located) {
        final Route next = located.value();
        mLimits.add(
                located.field(EntryField.TIMEOUT),
                old.timeout().toMillis(),
                next.timeout().toMillis());
        mLimits.add(located.field(EntryField.MAX_ATTEMPTS), old.maxAttempts(), next.maxAttempts());
        if (old.priority() != next.priority()) {
            mFindings.add(
                    old.priority() < next.priority() ? Severity.WARNING : Severity.NOTE,
                    located.field(EntryField.PRIORITY),
                    "rank-changed",
                    old.priority(),
                    next.priority());
        }
        if (!old.targetLatency().equals(next.targetLatency())) {
            mFindings.add(
                    Severity.NOTE,
                    located.field(EntryField.TARGET_LATENCY),
                    "target-changed",
                    old.targetLatency().toMillis(),
                    next.targetLatency().toMillis());
        }
    }
}
