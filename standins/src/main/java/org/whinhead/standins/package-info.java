/** Simulated external systems for tests and trials, and the load generator. */
package org.whinhead.standins;
