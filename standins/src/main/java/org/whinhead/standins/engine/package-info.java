/** A stand-in model engine: batching, prefix cache, and streams that resume or move to another engine. */
package org.whinhead.standins.engine;
