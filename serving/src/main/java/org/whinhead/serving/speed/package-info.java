/** The speed of endpoints, learnt from served requests and from other daemons' reports. */
package org.whinhead.serving.speed;
