/** Strict JSON reading and schema checks that give the project's own messages. */
package org.whinhead.settings.json;
