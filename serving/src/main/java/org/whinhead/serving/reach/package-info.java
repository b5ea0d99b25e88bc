/** Which endpoints a daemon reaches itself, and which only through another daemon. */
package org.whinhead.serving.reach;
