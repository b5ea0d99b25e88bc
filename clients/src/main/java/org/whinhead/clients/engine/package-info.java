/** Client for the models and the load that a model engine reports. */
package org.whinhead.clients.engine;
