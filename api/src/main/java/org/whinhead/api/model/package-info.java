/** Immutable values for VMs, failure domains, customers and endpoints. */
package org.whinhead.api.model;
