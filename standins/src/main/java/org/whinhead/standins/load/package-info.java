/** The load generator: sends the requests of a workload to daemons and verifies each answer. */
package org.whinhead.standins.load;
