/** Whether a request is taken now: budgets, tiers, queues and early refusal. */
package org.whinhead.admission;
