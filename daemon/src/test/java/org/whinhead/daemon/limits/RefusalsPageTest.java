package org.whinhead.daemon.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Verdict;

class RefusalsPageTest {

    // A new code is added, an operator on call sees it at night, and the page has no line on it.
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
