/** Reading and checking of settings: what is wrong with a document, where, and why. */
package org.whinhead.settings;
