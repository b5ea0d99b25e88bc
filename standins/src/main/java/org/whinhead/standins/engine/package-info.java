/** A stand-in model engine: batches, prefix cache, streams that resume, move and end. */
package org.whinhead.standins.engine;
