/** A stand-in weight store, which loads one model after the other at a limited rate. */
package org.whinhead.standins.weights;
