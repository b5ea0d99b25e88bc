/** What a daemon adds to a request, against calling the endpoint directly. */
package org.whinhead.bench.overhead;
