package org.whinhead.peer;

import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.whinhead.api.model.VmId;

/** Checks which VM a certificate was issued to. */
final class CertificateNames {

    private static final int DNS_NAME = 2;
    private static final int URI_NAME = 6;
    private static final Pattern COMMON_NAME = Pattern.compile("(?:^|,)CN=([^,+]+)");

    private CertificateNames() {}

    /** Returns whether the common name or a subject alternative name is the VM's identity. */
    static boolean containsVm(final X509Certificate certificate, final VmId vm) {
        final Matcher common = COMMON_NAME.matcher(certificate.getSubjectX500Principal().getName());
        if (common.find() && common.group(1).equals(vm.value())) {
            return true;
        }
        try {
            final Collection<List<?>> names = certificate.getSubjectAlternativeNames();
            return names != null && names.stream().anyMatch(name -> isVm(name, vm));
        } catch (final CertificateParsingException e) {
            // A certificate whose names cannot be parsed belongs to no VM.
            return false;
        }
    }

    private static boolean isVm(final List<?> name, final VmId vm) {
        final int type = (Integer) name.get(0);
        return (type == DNS_NAME || type == URI_NAME) && vm.value().equals(name.get(1));
    }
}
