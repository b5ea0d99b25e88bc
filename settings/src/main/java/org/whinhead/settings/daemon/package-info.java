/** The settings of one daemon process, read from its file at the start. */
package org.whinhead.settings.daemon;
