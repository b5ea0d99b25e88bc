/** Which endpoint a request goes to. */
package org.whinhead.routing;
