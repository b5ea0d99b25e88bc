/** What a failure means for a request: its error code, verdict and checked exception. */
package org.whinhead.api.verdict;
