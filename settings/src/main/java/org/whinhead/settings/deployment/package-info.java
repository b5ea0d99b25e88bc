/** Settings of the deployment: documents by path, their validation and typed values. */
package org.whinhead.settings.deployment;
