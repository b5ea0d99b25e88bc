/** What the callers of each deployment ask for, as data, and the seeded plan of their requests. */
package org.whinhead.standins.load.mix;
