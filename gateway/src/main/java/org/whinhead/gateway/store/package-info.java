/** The interface to the platform's metadata store, and the listeners of its topics. */
package org.whinhead.gateway.store;
