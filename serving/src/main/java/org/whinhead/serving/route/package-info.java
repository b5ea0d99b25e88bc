/** Routes: the service that answers a host and path, and the requests that may be repeated. */
package org.whinhead.serving.route;
