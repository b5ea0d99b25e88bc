/** The daemon: wires decisions to callers, endpoints, peers and the platform. */
package org.whinhead.daemon;
