package org.whinhead.clients.vms;

/** The role of the process on a listed VM. */
public enum VmRole {
    /** A daemon of this system. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
