package org.whinhead.serving.balance;

import org.whinhead.api.Arguments;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id the id of the part
 * @param tokens the length in tokens
 */
public record PromptPart(String id, int tokens) {

    /** Checks the components. */
    public PromptPart {
        Arguments.requireText(id, "id");
        Arguments.requireAtLeast(tokens, 0, "tokens");
    }
}
