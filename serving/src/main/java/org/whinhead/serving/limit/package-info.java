/** Limits that all daemons keep together: what customers spend, and what retries may add. */
package org.whinhead.serving.limit;
