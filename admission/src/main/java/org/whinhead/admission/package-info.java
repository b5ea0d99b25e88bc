/** Admission control of requests: team budgets, priority tiers, fair queues and load shedding. */
package org.whinhead.admission;
