/** The lease, and the tasks of its holder: usage reports and endpoint orders. */
package org.whinhead.gateway.duty;
