/**
 * Distributed token buckets that bound the spending of customers over all daemons.
 *
 * <p>Each customer's allowance is split into fixed shares. {@link
 * org.whinhead.serving.quota.ShareTable} assigns shares to daemons, {@link
 * org.whinhead.serving.quota.HeldShares} issues tokens of the shares that this daemon holds, and
 * {@link org.whinhead.serving.quota.CustomerQuotas} claims tokens for each request from the
 * holders. Only issued tokens are spent, so late or lost messages cannot make the daemons spend
 * more than the shares issue.
 */
package org.whinhead.serving.quota;
