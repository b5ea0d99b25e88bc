package org.whinhead.serving.configuration.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.UnaryOperator;
import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.ScalingLimits;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.configuration.TokenAllowance;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.RouteKind;
import org.whinhead.serving.route.WeightedService;

/** Builds configurations for tests; each entry's path is its list and index. */
final class WrittenConfigurations {

    private final List<Located<Route>> mRoutes = new ArrayList<>();
    private final List<Located<ServiceSpec>> mServices = new ArrayList<>();
    private final List<Located<CustomerAccount>> mCustomers = new ArrayList<>();
    private long mVersion = 1;

    private record Place(String text) implements EntryPath {
        @Override
        public String field(final EntryField field) {
            return text + "." + field;
        }

        @Override
        public String element(final EntryField list, final int index) {
            return field(list) + "[" + index + "]";
        }
    }

    WrittenConfigurations version(final long version) {
        mVersion = version;
        return this;
    }

    WrittenConfigurations route(final String name, final String prefix) {
        return route(name, prefix, builder -> builder);
    }

    WrittenConfigurations route(
            final String name, final String prefix, final UnaryOperator<Route.Builder> change) {
        return route(name, prefix, List.of(new WeightedService("pool", 1)), change);
    }

    WrittenConfigurations route(
            final String name,
            final String prefix,
            final List<WeightedService> services,
            final UnaryOperator<Route.Builder> change) {
        final Route.Builder builder =
                Route.builder()
                        .name(name)
                        .match("desk.example", prefix)
                        .kind(RouteKind.IDEMPOTENT, false)
                        .times(Duration.ofSeconds(2), Duration.ofSeconds(1))
                        .maxAttempts(2);
        services.forEach(builder::service);
        final Place place = new Place("routes[" + mRoutes.size() + "]");
        mRoutes.add(new Located<>(change.apply(builder).build(), place));
        return this;
    }

    WrittenConfigurations service(final String name) {
        return service(name, 100, Optional.empty());
    }

    WrittenConfigurations service(
            final String name, final int connections, final Optional<ScalingLimits> scaling) {
        final Place place = new Place("services[" + mServices.size() + "]");
        mServices.add(
                new Located<>(
                        new ServiceSpec(
                                name, "/health", connections, false, Optional.empty(), scaling),
                        place));
        return this;
    }

    WrittenConfigurations customer(final String name, final String... keys) {
        return customer(name, OptionalInt.empty(), new TokenAllowance(100, 100, 1), keys);
    }

    WrittenConfigurations customer(
            final String name,
            final OptionalInt priority,
            final TokenAllowance allowance,
            final String... keys) {
        final Place place = new Place("customers[" + mCustomers.size() + "]");
        mCustomers.add(
                new Located<>(
                        new CustomerAccount(name, List.of(keys), priority, allowance), place));
        return this;
    }

    WrittenConfiguration build() {
        return new WrittenConfiguration(
                new Located<>(mVersion, new Place("root")),
                mRoutes,
                mServices,
                mCustomers,
                new Located<>(CallerLimits.INITIAL, new Place("limits")),
                true);
    }
}
