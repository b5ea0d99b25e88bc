/** At-most-once claims of non-idempotent requests, first in log order wins. */
package org.whinhead.state.claim;
