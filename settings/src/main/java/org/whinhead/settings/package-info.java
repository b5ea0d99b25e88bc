/** Settings of the deployment: schema, validation with the place of each error, typed values. */
package org.whinhead.settings;
