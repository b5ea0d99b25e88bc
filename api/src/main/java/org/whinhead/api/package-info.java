/** Value types shared by all modules; performs no input or output. */
package org.whinhead.api;
