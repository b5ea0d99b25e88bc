/** Admission by the current settings and endpoints, and this daemon's share of both. */
package org.whinhead.daemon.limits;
