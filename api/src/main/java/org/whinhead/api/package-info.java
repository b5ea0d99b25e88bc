/** The small vocabulary that every other module leans on; no input or output happens here. */
package org.whinhead.api;
