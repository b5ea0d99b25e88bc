package org.whinhead.standins.vms;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.http.StandInCall;

/**
 * An entry of the VM list.
 *
 * @param id the VM's identity
 * @param host the IP address on which the VM's processes listen
 * @param domain the failure domain
 * @param machineClass the cloud's name of the VM size
 * @param billing the billing mode
 * @param leaving whether the VM's end was announced
 * @param role the kind of server that runs on the VM
 * @param uri the base address of the server on the VM
 * @param service the plain service's name; empty for other roles
 * @param checksFencing whether the VM's engine refuses old fencing numbers
 * @param slots the maximum number of concurrent requests
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

    /** The kind of server that runs on a VM. */
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
         * Parses the name used in bodies.
         *
         * @param text the name
         * @return the role
         */
        public static Role parse(final String text) {
            return valueOf(text.toUpperCase(Locale.ROOT));
        }
    }

    /** Validates the components. */
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

    /** Returns a copy that is marked as leaving. */
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

    /** Returns the name of a billing mode used in bodies. */
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
