package org.whinhead.standins.vms;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.http.StandInCall;

/**
 * One VM as the list shows it.
 *
 * @param id the VM's identity
 * @param host the IP address that its processes listen on
 * @param domain the failure domain
 * @param machineClass the cloud's name for its size
 * @param billing how it is paid for
 * @param leaving whether it was announced to stop
 * @param role what runs on it
 * @param uri the base address of what runs on it
 * @param service the plain service's name; empty for others
 * @param checksFencing whether its engine refuses old fencing numbers
 * @param slots how many requests it works on at once
 */
public record VmEntry(
        String id,
        String host,
        FailureDomain domain,
        String machineClass,
        Billing billing,
        boolean leaving,
        Role role,
        String uri,
        String service,
        boolean checksFencing,
        int slots) {

    /** What runs on a VM. */
    public enum Role {
        /** A daemon of the system. */
        ENTRY,
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        SERVICE;

        /** Returns the name used in bodies. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }

        /**
         * Reads the name used in bodies.
         *
         * @param text the name
         * @return the role
         */
        public static Role parse(final String text) {
            return valueOf(text.toUpperCase(Locale.ROOT));
        }
    }

    /** Checks every part. */
    public VmEntry {
        Arguments.requireText(id, "id");
        Arguments.requireText(host, "host");
        Objects.requireNonNull(domain, "domain");
        Arguments.requireText(machineClass, "machineClass");
        Objects.requireNonNull(billing, "billing");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(service, "service");
        Arguments.requireAtLeast(slots, 1, "slots");
    }

    /** Returns the same VM, announced to stop. */
    public VmEntry asLeaving() {
        return new VmEntry(
                id,
                host,
                domain,
                machineClass,
                billing,
                true,
                role,
                uri,
                service,
                checksFencing,
                slots);
    }

    /** Returns the name of a way to pay that is used in bodies. */
    public static String wireName(final Billing billing) {
        return billing.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    ObjectNode toJson() {
        return StandInCall.object()
                .put("id", id)
                .put("host", host)
                .put("region", domain.region())
                .put("domain", domain.name())
                .put("machineClass", machineClass)
                .put("billing", wireName(billing))
                .put("state", leaving ? "leaving" : "live")
                .put("role", role.wireName())
                .put("uri", uri)
                .put("service", service)
                .put("checksFencing", checksFencing)
                .put("slots", slots);
    }
}
