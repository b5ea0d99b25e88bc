/** A stand-in model engine: batching, prefix cache, and resumable and movable streams. */
package org.whinhead.standins.engine;
