package org.whinhead.serving.configuration.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.whinhead.serving.configuration.CustomerAccount;

/**
 * Finds keys that no caller can use or that two customers share. Keys are secret: none is shown.
 */
final class CustomerKeys implements ConfigurationRule {

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        final Map<String, Located<CustomerAccount>> owners = new HashMap<>();
        for (final Located<CustomerAccount> customer : configuration.customers()) {
            final List<String> keys = customer.value().keys();
            if (keys.isEmpty()) {
                findings.warn(
                        customer.field(EntryField.KEYS),
                        "customer-without-keys",
                        customer.value().name());
            }
            for (int i = 0; i < keys.size(); i++) {
                final String path = customer.path().element(EntryField.KEYS, i);
                checkKey(keys.get(i), path, customer, owners, findings);
            }
        }
    }

    private static void checkKey(
            final String key,
            final String path,
            final Located<CustomerAccount> customer,
            final Map<String, Located<CustomerAccount>> owners,
            final Findings findings) {
        if (key.isBlank()) {
            findings.warn(path, "key-blank", customer.value().name());
            return;
        }
        final Located<CustomerAccount> earlier = owners.put(key, customer);
        if (earlier == customer) {
            findings.warn(path, "key-repeated", customer.value().name());
        } else if (earlier != null) {
            findings.warn(
                    path,
                    "key-shared",
                    customer.value().name(),
                    earlier.value().name(),
                    earlier.path().text());
        }
    }
}
