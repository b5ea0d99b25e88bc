/** Retry budget that bounds the retries of all daemons together. */
package org.whinhead.serving.limit;
