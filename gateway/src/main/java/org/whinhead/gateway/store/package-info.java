/** The platform's metadata store as the product uses it, and the duties that follow its topics. */
package org.whinhead.gateway.store;
