/** The deployment's settings: documents under paths, their rules and their typed form. */
package org.whinhead.settings.deployment;
