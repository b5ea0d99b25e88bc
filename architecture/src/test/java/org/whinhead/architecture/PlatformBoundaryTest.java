package org.whinhead.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.whinhead", importOptions = ImportOption.DoNotIncludeTests.class)
class PlatformBoundaryTest {

    @ArchTest
    static final ArchRule NOTHING_DEPENDS_ON_THE_ADAPTER =
            noClasses()
                    .that()
                    .resideOutsideOfPackage("org.whinhead.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.whinhead.platform..");

    // A rule of the product hides in the adapter and is missing on the next platform: it must not
    // see
    // the objects that decide, only what it translates into.
    @ArchTest
    static final ArchRule THE_ADAPTER_SEES_NO_DECISION =
            noClasses()
                    .that()
                    .resideInAPackage("org.whinhead.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.whinhead.gateway.exchange..",
                            "org.whinhead.serving.usage..",
                            "org.whinhead.routing..",
                            "org.whinhead.admission..",
                            "org.whinhead.requests..");

    @ArchTest
    static final ArchRule DECISIONS_OF_SERVING_KNOW_NO_TRANSPORT =
            classes()
                    .that()
                    .resideInAPackage("org.whinhead.serving..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage("java..", "org.whinhead.serving..", "org.whinhead.api..");
}
