/** Samples of ended requests for the report on the burn of error budgets. */
package org.whinhead.daemon.burn;
