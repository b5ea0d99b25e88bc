package org.whinhead.requests;

/** The part of an answer that the caller has. */
final class DeliveredText {

    private final StringBuilder mText;
    private final long mHadBefore;
    private long mTokens;

    DeliveredText(final String text, final long tokens) {
        mText = new StringBuilder(text);
        mHadBefore = tokens;
        mTokens = tokens;
    }

    long tokens() {
        return mTokens;
    }

    /** Returns how many tokens this daemon added. */
    long addedTokens() {
        return mTokens - mHadBefore;
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

    /** Tells whether a token repeats the delivered text from a position on. */
    boolean matchesAt(final int position, final String token) {
        final int end = position + token.length();
        return end <= mText.length() && mText.substring(position, end).equals(token);
    }
}
