/** Connections of callers: strict reading of requests, answers as they come. */
package org.whinhead.gateway.caller;
