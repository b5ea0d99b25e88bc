/** The deterministic answer to each prompt, against which callers check what they receive. */
package org.whinhead.standins.answer;
