package org.whinhead.membership;

import org.whinhead.api.model.VmId;

/** Computes 64-bit hashes that are the same on every daemon. */
final class StableHash {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private StableHash() {}

    /**
     * Hashes a VM's identity with a salt.
     *
     * @param vm the VM
     * @param salt the salt; different salts give independent hashes
     * @return the hash
     */
    static long of(final VmId vm, final long salt) {
        long hash = FNV_OFFSET;
        final String text = vm.value();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash + mix(salt + 1));
    }

    private static long mix(final long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_FIRST;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_SECOND;
        return mixed ^ (mixed >>> MIX_SHIFT);
    }
}
