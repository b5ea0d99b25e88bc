package org.whinhead.daemon.log;

import java.util.List;
import java.util.Optional;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentRules;
import org.whinhead.state.settings.SettingsState;
import org.whinhead.state.settings.SettingsValidator;

/** Lets the fold decide by what no schema number changes: the envelope and the links. */
final class FoldSettingsValidator implements SettingsValidator {

    private static final int SUPPORTED_RULES_VERSION = 1;

    private DeploymentSettings mSettings = DeploymentSettings.EMPTY;

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
        // The result depends on the arguments alone; what was parsed before is only reused.
        mSettings = mSettings.refreshed(current.documents(), current::revisionNumber);
        return DocumentRules.validate(path, document, mSettings).foldProblems().stream()
                .map(SettingsProblem::toString)
                .toList();
    }
}
