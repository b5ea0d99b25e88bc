package org.whinhead.daemon.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Verdict;

/** Checks that the page on refusals is complete. */
class RefusalsPageTest {

    // Fails if a code or verdict is added without a line on the page that operators look it up in.
    @Test
    void everyCodeWithItsStatusAndEveryVerdictIsListed() throws IOException {
        final String page = Files.readString(Path.of("..", "docs", "REFUSALS.md"));
        for (final ErrorCode code : ErrorCode.values()) {
            assertThat(page).contains("\n| `" + code.wireName() + "` | " + code.status() + " | ");
        }
        for (final Verdict verdict : Verdict.values()) {
            assertThat(page).contains("\n| `" + verdict.wireName() + "` | ");
        }
    }
}
