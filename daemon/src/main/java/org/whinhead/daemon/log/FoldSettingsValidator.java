package org.whinhead.daemon.log;

import java.util.List;
import java.util.Optional;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentValidator;
import org.whinhead.state.settings.SettingsState;
import org.whinhead.state.settings.SettingsValidator;

/** Validates documents by the rules that no schema number changes: envelope and references. */
final class FoldSettingsValidator implements SettingsValidator {

    private static final int SUPPORTED_RULES_VERSION = 1;

    private DeploymentSettings mParsed = DeploymentSettings.EMPTY;

    @Override
    public boolean supports(final int rules) {
        return rules == SUPPORTED_RULES_VERSION;
    }

    @Override
    public List<String> findProblems(
            final int rules,
            final String path,
            final Optional<String> document,
            final SettingsState current) {
        // The field only caches parsed documents; the result depends on the arguments alone.
        mParsed = mParsed.refreshed(current.documents(), current::revisionNumber);
        return DocumentValidator.validate(path, document, mParsed).foldProblems().stream()
                .map(SettingsProblem::toString)
                .toList();
    }
}
