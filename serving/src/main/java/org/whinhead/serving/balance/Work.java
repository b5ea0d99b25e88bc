package org.whinhead.serving.balance;

import java.util.List;

/**
 * What a request asks of an endpoint.
 *
 * @param parts the parts of its prompt, in order
 * @param promptTokens the length of the whole prompt; 0 for a plain request
 * @param outputTokens the most tokens that it may generate
 */
public record Work(List<PromptPart> parts, int promptTokens, int outputTokens) {

    /** The work of a request to a plain service. */
    public static final Work PLAIN = new Work(List.of(), 0, 0);

    /** Copies the parts. */
    public Work {
        parts = List.copyOf(parts);
    }

    /**
     * Sums the parts of the prompt.
     *
     * @return the tokens that an endpoint may have cached
     */
    public int sharedTokens() {
        return parts.stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Names the session that the request belongs to.
     *
     * @return the last part, the most specific one; empty without parts
     */
    public String session() {
        return parts.isEmpty() ? "" : parts.get(parts.size() - 1).id();
    }
}
