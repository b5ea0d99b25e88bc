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
    static final ArchRule NO_OTHER_PACKAGE_DEPENDS_ON_PLATFORM =
            noClasses()
                    .that()
                    .resideOutsideOfPackage("org.whinhead.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.whinhead.platform..");

    // A rule of the product inside the adapter would be missing on the next platform: the adapter
    // must not depend on the classes that decide, only on those that it translates to.
    @ArchTest
    static final ArchRule PLATFORM_DEPENDS_ON_NO_DECISION_PACKAGE =
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
    static final ArchRule SERVING_DEPENDS_ON_NO_TRANSPORT =
            classes()
                    .that()
                    .resideInAPackage("org.whinhead.serving..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage("java..", "org.whinhead.serving..", "org.whinhead.api..");
}
