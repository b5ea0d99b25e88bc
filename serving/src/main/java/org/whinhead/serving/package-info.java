/** Decisions of the serving path: routes, load balancing, retries and limits. */
package org.whinhead.serving;
