/** Problems found in settings documents: place, message key and message. */
package org.whinhead.settings;
