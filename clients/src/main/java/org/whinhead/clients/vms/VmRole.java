package org.whinhead.clients.vms;

/** What runs on a listed VM. */
public enum VmRole {
    /** A daemon of this system. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
