/** What membership costs and how fast news travels, with many daemons in one process. */
package org.whinhead.bench.membership;
