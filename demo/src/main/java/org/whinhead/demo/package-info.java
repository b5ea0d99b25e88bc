/** One deployment in one process, with a reclaim halfway. */
package org.whinhead.demo;
