/**
 * Request handling: admission, attempts at one or several endpoints, and the response to the
 * caller.
 */
package org.whinhead.gateway.exchange;
