/** Calls of the daemons' operator interface, with another daemon tried after a failure. */
package org.whinhead.cli.http;
