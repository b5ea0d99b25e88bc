package org.whinhead.serving.configuration.check;

import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;

/** Finds allowances under which some requests are never admitted. */
final class CustomerAllowances implements ConfigurationRule {

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        for (final Located<CustomerAccount> customer : configuration.customers()) {
            final TokenAllowance allowance = customer.value().allowance();
            if (allowance.isUnlimited()) {
                continue;
            }
            if (allowance.tokensPerSecond() == 0) {
                findings.warn(
                        customer.field(EntryField.RATE),
                        "allowance-without-rate",
                        customer.value().name(),
                        allowance.burstTokens());
            }
            if (allowance.burstTokens() < allowance.plainTokens()) {
                findings.warn(
                        customer.field(EntryField.BURST),
                        "burst-under-request",
                        allowance.burstTokens(),
                        allowance.plainTokens());
            }
        }
    }
}
