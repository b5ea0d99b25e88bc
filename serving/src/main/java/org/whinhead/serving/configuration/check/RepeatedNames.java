package org.whinhead.serving.configuration.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.route.Route;

/** Finds entries of one kind with the same name. */
final class RepeatedNames implements ConfigurationRule {

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        check(configuration.routes(), Route::name, "route-name-repeated", findings);
        check(configuration.services(), ServiceSpec::name, "service-name-repeated", findings);
        check(configuration.customers(), CustomerAccount::name, "customer-repeated", findings);
    }

    private static <T> void check(
            final List<Located<T>> entries,
            final Function<T, String> name,
            final String rule,
            final Findings findings) {
        final Map<String, Located<T>> last = new HashMap<>();
        for (final Located<T> entry : entries) {
            final String text = name.apply(entry.value());
            final Located<T> earlier = last.put(text, entry);
            if (earlier != null) {
                findings.warn(earlier.field(EntryField.NAME), rule, text, entry.path().text());
            }
        }
    }
}
