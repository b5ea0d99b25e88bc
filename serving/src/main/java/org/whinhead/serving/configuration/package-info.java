/** The configuration in force: routes, services, limits and customers of one version. */
package org.whinhead.serving.configuration;
