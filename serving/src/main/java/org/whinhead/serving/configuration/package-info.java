/** The active configuration: routes, services, limits and customers of one version. */
package org.whinhead.serving.configuration;
