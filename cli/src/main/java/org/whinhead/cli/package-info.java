/** The operators' command-line tool. */
package org.whinhead.cli;
