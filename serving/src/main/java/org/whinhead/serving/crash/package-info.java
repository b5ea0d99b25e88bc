/** Requests that crash the endpoints that run them: evidence against them, and for how long. */
package org.whinhead.serving.crash;
