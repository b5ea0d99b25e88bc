/** What a daemon knows of the deployment at one time, as immutable values. */
package org.whinhead.daemon.view;
