/** What each role costs a daemon as its size grows: processor time, memory and bytes. */
package org.whinhead.bench.capacity;
