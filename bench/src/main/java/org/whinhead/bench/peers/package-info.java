/**
 * Measures how fast news of leaving VMs travels, and what peers cost each other on real sockets.
 */
package org.whinhead.bench.peers;
