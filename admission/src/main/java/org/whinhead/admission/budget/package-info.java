/** A team's tokens a second, spent through many daemons by portions of one holder. */
package org.whinhead.admission.budget;
