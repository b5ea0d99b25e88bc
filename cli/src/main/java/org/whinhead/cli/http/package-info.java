/** Client of the daemons' operator interface, with failover to another daemon. */
package org.whinhead.cli.http;
