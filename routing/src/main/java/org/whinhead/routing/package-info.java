/** Selection of the endpoint for each request attempt. */
package org.whinhead.routing;
