package org.whinhead.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import java.util.Random;

@AnalyzeClasses(packages = "org.whinhead", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {

    private static final String[] DECISION_PACKAGES = {
        "org.whinhead.api..",
        "org.whinhead.state..",
        "org.whinhead.membership..",
        "org.whinhead.routing..",
        "org.whinhead.admission..",
        "org.whinhead.requests..",
        "org.whinhead.fleet..",
        "org.whinhead.serving..",
    };

    @ArchTest
    static final ArchRule MODULES_HAVE_NO_CYCLES =
            slices().matching("org.whinhead.(*)..").should().beFreeOfCycles();

    // Decision code that reads the machine's clock or an unseeded random source decides differently
    // in the fault matrix than on the daemon.
    @ArchTest
    static final ArchRule DECISION_PACKAGES_READ_NO_CLOCK =
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISION_PACKAGES)
                    .should()
                    .callMethod(Instant.class, "now")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(Clock.class, "systemUTC")
                    .orShould()
                    .callMethod(Math.class, "random")
                    .orShould()
                    .callConstructor(Random.class);

    @ArchTest
    static final ArchRule DECISION_PACKAGES_DO_NO_IO =
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISION_PACKAGES)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.net.http..",
                            "java.nio.channels..",
                            "java.nio.file..",
                            "io.undertow..",
                            "io.netty..",
                            "org.slf4j..");

    @ArchTest
    static final ArchRule DECISION_PACKAGES_START_NO_THREAD =
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISION_PACKAGES)
                    .should()
                    .dependOnClassesThat()
                    .areAssignableTo(Thread.class)
                    .orShould()
                    .dependOnClassesThat()
                    .resideInAPackage("java.util.concurrent.locks..");

    @ArchTest
    static final ArchRule NO_CLASS_STARTS_A_PROCESS =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .areAssignableTo(ProcessBuilder.class)
                    .orShould()
                    .callMethod(Runtime.class, "exec", String.class);
}
