/** Strict JSON parsing, and schema validation with the project's own messages. */
package org.whinhead.settings.json;
