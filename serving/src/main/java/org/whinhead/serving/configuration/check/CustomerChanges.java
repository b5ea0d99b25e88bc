package org.whinhead.serving.configuration.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.configuration.TokenAllowance;

/**
 * Finds customers and keys that a change adds, removes or limits. Keys are secret: none is shown.
 */
final class CustomerChanges {

    private final WrittenConfiguration mInForce;
    private final WrittenConfiguration mNext;
    private final Findings mFindings;
    private final NumberChange mAllowances;

    CustomerChanges(
            final WrittenConfiguration inForce,
            final WrittenConfiguration next,
            final Findings findings) {
        mInForce = inForce;
        mNext = next;
        mFindings = findings;
        mAllowances = new NumberChange("limit-lowered", "limit-raised", findings);
    }

    /** Adds the findings. */
    void find() {
        final Map<String, Located<CustomerAccount>> old = byName(mInForce);
        final Map<String, Located<CustomerAccount>> next = byName(mNext);
        findKeys();
        for (final Located<CustomerAccount> customer : mInForce.customers()) {
            final String name = customer.value().name();
            if (old.get(name) != customer) {
                continue;
            }
            if (next.containsKey(name)) {
                compare(customer.value(), next.get(name));
            } else {
                mFindings.warn(customer.path().text(), "customer-removed", name);
            }
        }
        for (final Located<CustomerAccount> customer : mNext.customers()) {
            final String name = customer.value().name();
            if (next.get(name) == customer && !old.containsKey(name)) {
                mFindings.add(Severity.NOTE, customer.path().text(), "customer-added", name);
            }
        }
    }

    private static Map<String, Located<CustomerAccount>> byName(
            final WrittenConfiguration configuration) {
        final Map<String, Located<CustomerAccount>> customers = new HashMap<>();
        configuration.customers().forEach(entry -> customers.put(entry.value().name(), entry));
        return customers;
    }

    private void findKeys() {
        final ServingConfiguration old = mInForce.effective();
        final ServingConfiguration next = mNext.effective();
        if (!old.isKeyRequired() && next.isKeyRequired()) {
            mFindings.warn(mNext.customers().get(0).path().text(), "keys-required");
        }
        if (old.isKeyRequired() && !next.isKeyRequired()) {
            mFindings.warn(mInForce.customers().get(0).path().text(), "keys-not-required");
            return;
        }
        for (final Located<CustomerAccount> customer : mInForce.customers()) {
            final List<String> keys = customer.value().keys();
            for (int i = 0; i < keys.size(); i++) {
                final String path = customer.path().element(EntryField.KEYS, i);
                compareKey(path, customer.value(), keys.get(i), next);
            }
        }
        for (final Located<CustomerAccount> customer : mNext.customers()) {
            final List<String> keys = customer.value().keys();
            for (int i = 0; i < keys.size(); i++) {
                if (old.customerOfKey(keys.get(i)).isEmpty()) {
                    mFindings.add(
                            Severity.NOTE,
                            customer.path().element(EntryField.KEYS, i),
                            "key-added",
                            customer.value().name());
                }
            }
        }
    }

    private void compareKey(
            final String path,
            final CustomerAccount customer,
            final String key,
            final ServingConfiguration next) {
        final String owner = next.customerOfKey(key).map(CustomerAccount::name).orElse("");
        if (owner.isEmpty()) {
            mFindings.warn(path, "key-removed", customer.name());
        } else if (!owner.equals(customer.name())) {
            mFindings.warn(path, "key-moved", customer.name(), owner);
        }
    }

    private void compare(final CustomerAccount old, final Located<CustomerAccount> located) {
        final CustomerAccount next = located.value();
        compareAllowance(old.allowance(), located);
        if (!old.priority().equals(next.priority())) {
            mFindings.warn(
                    located.field(EntryField.PRIORITY),
                    "customer-rank-changed",
                    next.name(),
                    rank(old),
                    rank(next));
        }
    }

    private static String rank(final CustomerAccount customer) {
        return customer.priority().isPresent()
                ? String.valueOf(customer.priority().getAsInt())
                : "the route's";
    }

    private void compareAllowance(
            final TokenAllowance old, final Located<CustomerAccount> located) {
        final TokenAllowance next = located.value().allowance();
        final String name = located.value().name();
        if (old.isUnlimited() && !next.isUnlimited()) {
            mFindings.warn(located.field(EntryField.RATE), "allowance-limited", name);
        } else if (!old.isUnlimited() && next.isUnlimited()) {
            mFindings.warn(located.field(EntryField.RATE), "allowance-unlimited", name);
        } else {
            mAllowances.add(
                    located.field(EntryField.RATE), old.tokensPerSecond(), next.tokensPerSecond());
            mAllowances.add(located.field(EntryField.BURST), old.burstTokens(), next.burstTokens());
        }
        if (old.plainTokens() != next.plainTokens()) {
            mFindings.add(
                    old.plainTokens() < next.plainTokens() ? Severity.WARNING : Severity.NOTE,
                    located.field(EntryField.PLAIN_TOKENS),
                    "plain-tokens-changed",
                    old.plainTokens(),
                    next.plainTokens());
        }
    }
}
