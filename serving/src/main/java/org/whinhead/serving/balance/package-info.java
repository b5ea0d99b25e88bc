/** The choice of an endpoint: cached prompt parts against load, failures and distance. */
package org.whinhead.serving.balance;
