/** Load balancing: endpoints are chosen by cached prompt parts, load, failures and distance. */
package org.whinhead.serving.balance;
