/** Decides what a daemon that stops gracefully may still begin, and when its process ends. */
package org.whinhead.serving.stop;
