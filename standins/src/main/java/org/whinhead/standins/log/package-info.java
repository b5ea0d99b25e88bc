/** A stand-in log service: streams of records with offsets, a cap, retention and outages. */
package org.whinhead.standins.log;
