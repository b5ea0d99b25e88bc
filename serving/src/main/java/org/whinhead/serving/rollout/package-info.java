/**
 * Roll-outs: a new version of a service is tried on a part of the traffic, judged, and completed or
 * rolled back.
 */
package org.whinhead.serving.rollout;
