package org.whinhead.requests;

/** The part of an answer that the caller has received. */
final class DeliveredText {

    private final StringBuilder mText;
    private final long mInitialTokens;
    private long mTokens;

    DeliveredText(final String text, final long tokens) {
        mText = new StringBuilder(text);
        mInitialTokens = tokens;
        mTokens = tokens;
    }

    long tokens() {
        return mTokens;
    }

    /** Returns the number of tokens that this daemon delivered. */
    long addedTokens() {
        return mTokens - mInitialTokens;
    }

    int length() {
        return mText.length();
    }

    String text() {
        return mText.toString();
    }

    void append(final String token) {
        mText.append(token);
        mTokens++;
    }

    /** Returns whether the delivered text contains a token at a character position. */
    boolean matchesAt(final int position, final String token) {
        final int end = position + token.length();
        return end <= mText.length() && mText.substring(position, end).equals(token);
    }
}
