package org.whinhead.serving.balance;

import org.whinhead.api.Arguments;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id what names the part
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {

    /** Checks the parts. */
    public PromptPart {
        Arguments.requireText(id, "id");
        Arguments.requireAtLeast(tokens, 0, "tokens");
    }
}
