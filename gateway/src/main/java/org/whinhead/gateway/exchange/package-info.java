/** The life of a request: from a caller, to one endpoint or several, and back. */
package org.whinhead.gateway.exchange;
