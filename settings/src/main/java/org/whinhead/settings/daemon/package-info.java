/** Settings of one daemon process, read from a file at startup. */
package org.whinhead.settings.daemon;
