/** Membership of the daemons of a deployment, based on the reports they exchange. */
package org.whinhead.serving.member;
