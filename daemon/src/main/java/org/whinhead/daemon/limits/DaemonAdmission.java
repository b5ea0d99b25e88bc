package org.whinhead.daemon.limits;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.whinhead.admission.Admission;
import org.whinhead.admission.AdmissionSettings;
import org.whinhead.admission.TieredAdmission;
import org.whinhead.admission.budget.BudgetSettings;
import org.whinhead.admission.budget.EvenShareBudget;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;

/**
 * The daemon's admission, by the tiers, weights and budgets of the current settings and this
 * daemon's share of the endpoints' slots.
 *
 * <p>The latest snapshot of the limits is applied before each decision, so that no change is lost
 * or reordered. A change sent over the bounded ring could be dropped when the ring is full, and a
 * reduced budget would still be spent in full.
 */
public final class DaemonAdmission implements Admission {

    private final LimitTracker mLimits;
    private final EvenShareBudget mBudget = new EvenShareBudget(BudgetSettings.DEFAULT);
    private final TieredAdmission mAdmission;
    private LimitSnapshot mAppliedSnapshot = LimitSnapshot.EMPTY;
    private Set<CustomerId> mKnownCustomers = Set.of();
    private volatile AdmissionCounts mCounts = AdmissionCounts.NONE;

    /**
     * Creates an admission with empty queues.
     *
     * @param limits the source of limit snapshots
     * @param settings the bounds of the queues
     */
    public DaemonAdmission(final LimitTracker limits, final AdmissionSettings settings) {
        mLimits = Objects.requireNonNull(limits, "limits");
        mAdmission = new TieredAdmission(settings, mBudget);
    }

    /**
     * Offers a new request.
     *
     * <p>Refuses a customer that was removed from the settings after its key was checked: it has
     * neither weight nor budget any more, and its requests would run without limits.
     */
    @Override
    public Optional<Refusal> offer(final RequestSpec spec, final Instant now) {
        applyLatestSnapshot(now);
        if (!mKnownCustomers.contains(spec.customer())) {
            return Optional.of(Refusal.notRun(ErrorCode.UNKNOWN_KEY, "customer was removed"));
        }
        return mAdmission.offer(spec, now);
    }

    @Override
    public List<RequestSpec> takeAdmitted(final Instant now) {
        applyLatestSnapshot(now);
        final List<RequestSpec> admitted = mAdmission.takeAdmitted(now);
        mCounts =
                new AdmissionCounts(
                        mAdmission.waiting(),
                        mAdmission.running(),
                        mAdmission.resumed(),
                        mAdmission.resumedWithoutBudget());
        return admitted;
    }

    @Override
    public List<ShedRequest> takeShed(final Instant now) {
        applyLatestSnapshot(now);
        return mAdmission.takeShed(now);
    }

    @Override
    public void resume(final RequestSpec spec, final long restTokens, final Instant now) {
        applyLatestSnapshot(now);
        mAdmission.resume(spec, restTokens, now);
    }

    @Override
    public void requestEnded(
            final RequestId request, final long generatedTokens, final Instant now) {
        mAdmission.requestEnded(request, generatedTokens, now);
    }

    /** Returns the counts as of the last admission; callable on any thread. */
    public AdmissionCounts counts() {
        return mCounts;
    }

    private void applyLatestSnapshot(final Instant now) {
        final LimitSnapshot latest = mLimits.snapshot();
        if (latest == mAppliedSnapshot) {
            return;
        }
        mAppliedSnapshot = latest;
        final Set<CustomerId> customers = new HashSet<>();
        for (final Customer customer : latest.customers()) {
            customers.add(customer.id());
        }
        mKnownCustomers = customers;
        mAdmission.customersChanged(latest.customers());
        mBudget.ratesChanged(latest.rates(), latest.daemons(), now);
        latest.slots().forEach(mAdmission::capacityChanged);
    }
}
