/** Positions in the topics of the platform's store. */
package org.whinhead.serving.store;
