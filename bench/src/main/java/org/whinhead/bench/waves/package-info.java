/** Reclaim waves over whole deployments, against a system that starts every answer over. */
package org.whinhead.bench.waves;
