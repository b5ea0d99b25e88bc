/** How many connections a daemon may hold to an endpoint that all daemons share. */
package org.whinhead.serving.connection;
