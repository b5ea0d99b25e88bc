/** The request lifecycle: attempts, retries, recovery and at-most-once claims. */
package org.whinhead.requests;
