package org.whinhead.api.model;

import org.whinhead.api.Arguments;

/**
 * A group of VMs that may be reclaimed or fail together.
 *
 * @param region the region, for example {@code kigali}
 * @param name the domain's name, unique in the region, for example {@code kg-gasabo}
 */
public record FailureDomain(String region, String name) implements Comparable<FailureDomain> {

    /** Validates both components. */
    public FailureDomain {
        Arguments.requireText(region, "region");
        Arguments.requireText(name, "name");
    }

    @Override
    public int compareTo(final FailureDomain other) {
        final int byRegion = region.compareTo(other.region);
        return byRegion != 0 ? byRegion : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return region + "/" + name;
    }
}
