/**
 * Messages between daemons that claim tokens of customers' quotas, and the table of the daemons
 * that hold the shares of these quotas.
 */
package org.whinhead.gateway.quota;
