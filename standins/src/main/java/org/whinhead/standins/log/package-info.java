/** A stand-in log service: record streams with offsets, an append rate limit, retention and outages. */
package org.whinhead.standins.log;
