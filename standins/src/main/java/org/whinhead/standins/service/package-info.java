/** A stand-in plain service, whose calls must not be repeated. */
package org.whinhead.standins.service;
