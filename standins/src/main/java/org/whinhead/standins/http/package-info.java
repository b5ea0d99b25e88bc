/** HTTP server of the stand-ins, based on Undertow: routes, JSON calls and transport faults. */
package org.whinhead.standins.http;
