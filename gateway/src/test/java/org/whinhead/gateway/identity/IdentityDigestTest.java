package org.whinhead.gateway.identity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class IdentityDigestTest {

    @Test
    void sameTextsHaveTheSameDigest() {
        assertThat(new IdentityDigest().add("a").add("b").finish())
                .isEqualTo(new IdentityDigest().add("a").add("b").finish());
    }

    // Guards against an identity that a caller forges by moving characters between two texts.
    @Test
    void textsThatAreSplitDifferentlyDiffer() {
        assertThat(new IdentityDigest().add("ab").add("c").finish())
                .isNotEqualTo(new IdentityDigest().add("a").add("bc").finish());
    }
}
