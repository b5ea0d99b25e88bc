package org.whinhead.daemon.caller;

/** The names of JSON fields in chat requests and responses, and the assistant's role. */
final class ChatFields {

    static final String MODEL = "model";
    static final String MESSAGES = "messages";
    static final String ROLE = "role";
    static final String CONTENT = "content";
    static final String ASSISTANT = "assistant";
    static final String STREAM = "stream";
    static final String PRIORITY = "priority";
    static final String MAX_TOKENS = "max_tokens";
    static final String DELIVERED_TEXT = "delivered_text";
    static final String DELIVERED_TOKENS = "delivered_tokens";
    static final String CONTINUE = "continue_final_message";

    private ChatFields() {}
}
