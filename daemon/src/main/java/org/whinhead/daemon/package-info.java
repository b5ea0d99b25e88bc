/** The daemon: connects the decisions on requests to callers, endpoints, peers and the platform. */
package org.whinhead.daemon;
