/** Request handling: admission, attempts at endpoints, and the response to the caller. */
package org.whinhead.gateway.exchange;
