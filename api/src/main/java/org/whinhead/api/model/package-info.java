/** Machines, zones, customers and back ends as immutable values. */
package org.whinhead.api.model;
