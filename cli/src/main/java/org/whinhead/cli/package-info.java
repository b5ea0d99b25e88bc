/** Command-line tool for operators. */
package org.whinhead.cli;
