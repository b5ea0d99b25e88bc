/** A stand-in log service: record streams with offsets, a rate limit, retention and outages. */
package org.whinhead.standins.log;
