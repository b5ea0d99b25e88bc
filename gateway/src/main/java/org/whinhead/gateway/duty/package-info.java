/** Carries out the duties of the lease holder: usage reports and orders of endpoints. */
package org.whinhead.gateway.duty;
