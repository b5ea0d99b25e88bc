/** Service-level burn, cost and recomputed tokens for people. */
package org.whinhead.report;
