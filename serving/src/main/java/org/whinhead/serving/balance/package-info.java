/**
 * Load balancing: the choice of an endpoint by cached prompt parts, load, failures and distance.
 */
package org.whinhead.serving.balance;
