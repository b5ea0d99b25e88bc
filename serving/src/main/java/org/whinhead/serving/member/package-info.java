/** The daemons of a deployment, by what they report to each other. */
package org.whinhead.serving.member;
