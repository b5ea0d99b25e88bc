/** Requests in progress: their bodies, where their answers go, and the coordinator's actions. */
package org.whinhead.daemon.request;
