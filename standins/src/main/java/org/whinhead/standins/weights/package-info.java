/** A stand-in weight store, which serves one model load after the other at a limited rate. */
package org.whinhead.standins.weights;
