package org.whinhead.serving.balance;

import java.util.List;

/**
 * The work that a request requires of an endpoint.
 *
 * @param parts the parts of its prompt, in order
 * @param promptTokens the length of the whole prompt in tokens; 0 for a plain request
 * @param outputTokens the largest number of tokens that it may generate
 */
public record Work(List<PromptPart> parts, int promptTokens, int outputTokens) {

    /** The work of a request to a plain service. */
    public static final Work PLAIN = new Work(List.of(), 0, 0);

    /** Copies the prompt parts. */
    public Work {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the length of the prompt parts.
     *
     * @return the number of tokens that an endpoint may have cached
     */
    public int sharedTokens() {
        return parts.stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Returns the session that the request belongs to.
     *
     * @return the id of the last part, the most specific one; empty without parts
     */
    public String session() {
        return parts.isEmpty() ? "" : parts.get(parts.size() - 1).id();
    }
}
