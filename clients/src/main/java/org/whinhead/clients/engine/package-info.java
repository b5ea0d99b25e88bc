/** The client of what a model engine tells about itself. */
package org.whinhead.clients.engine;
