/** Failures of requests: error code, verdict and checked exception. */
package org.whinhead.api.verdict;
