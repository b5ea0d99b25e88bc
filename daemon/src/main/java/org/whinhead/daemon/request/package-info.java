/** Requests in progress, their bodies and the replies to their callers. */
package org.whinhead.daemon.request;
