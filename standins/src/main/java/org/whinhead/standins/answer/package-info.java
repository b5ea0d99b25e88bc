/** What a stand-in engine generates for a prompt, so that a caller can check its own answer. */
package org.whinhead.standins.answer;
