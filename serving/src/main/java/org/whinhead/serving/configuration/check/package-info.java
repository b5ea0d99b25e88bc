/** Checks a configuration for entries without effect, contradictions and harmful changes. */
package org.whinhead.serving.configuration.check;
