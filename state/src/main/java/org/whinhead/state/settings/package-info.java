/** The versioned settings, changed by compare-and-set on a path's revision in log order. */
package org.whinhead.state.settings;
