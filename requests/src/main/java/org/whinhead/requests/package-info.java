/** The life of a request: attempts, retries, recovery and the at-most-once claim. */
package org.whinhead.requests;
