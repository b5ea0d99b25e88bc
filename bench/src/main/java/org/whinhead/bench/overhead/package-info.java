/** Overhead of a daemon compared with calling the endpoint directly. */
package org.whinhead.bench.overhead;
