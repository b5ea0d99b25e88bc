/** A stand-in plain service, whose calls may not be repeated. */
package org.whinhead.standins.service;
