/** Limits of requests per second that endpoints name, held by all daemons together. */
package org.whinhead.serving.ratelimit;
