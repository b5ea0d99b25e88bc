/** JSON over Undertow, shared by all stand-ins: routes, one call, and transport faults. */
package org.whinhead.standins.http;
