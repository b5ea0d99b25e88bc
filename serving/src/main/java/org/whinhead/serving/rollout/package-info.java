/**
 * Roll-outs: a new version of a service receives a share of the traffic as a canary and is
 * completed or rolled back.
 */
package org.whinhead.serving.rollout;
