/** Reports of burn rates, cost and recomputed tokens for operators. */
package org.whinhead.report;
