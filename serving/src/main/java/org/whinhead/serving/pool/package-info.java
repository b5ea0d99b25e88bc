/** Which decisions about pools of shared endpoints a deployment asks for. */
package org.whinhead.serving.pool;
