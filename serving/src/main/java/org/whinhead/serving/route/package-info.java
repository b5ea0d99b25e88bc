/** Routes: which service answers a host and path, and what may be repeated there. */
package org.whinhead.serving.route;
