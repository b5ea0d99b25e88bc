/** Compares reclaim waves over whole deployments with a system that restarts every answer. */
package org.whinhead.bench.waves;
