/** Counts ended requests for the report on service-level burn. */
package org.whinhead.daemon.burn;
