package io.anvilpick.it;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.methods;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Checks the dependencies between packages, the names of accessors, and that no io_uring transport is present. */
@AnalyzeClasses(packages = "io.anvilpick", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] ADAPTERS = {
        "io.anvilpick.peer..",
        "io.anvilpick.platform.http..",
        "io.anvilpick.daemon..",
        "io.anvilpick.standins..",
        "io.anvilpick.load..",
        "io.anvilpick.cli.."
    };

    @ArchTest
    static final ArchRule decisionsDoNotDependOnTransports = noClasses()
            .that()
            .resideInAPackage("io.anvilpick..")
            .and()
            .resideOutsideOfPackages(ADAPTERS)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("com.linecorp.armeria..", "io.netty..", "com.google.protobuf..");

    @ArchTest
    static final ArchRule decisionsDoNotDependOnAdapters = noClasses()
            .that()
            .resideInAPackage("io.anvilpick..")
            .and()
            .resideOutsideOfPackages(ADAPTERS)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(ADAPTERS);

    @ArchTest
    static final ArchRule accessorsHaveNoGet = methods()
            .that()
            .areDeclaredInClassesThat()
            .resideOutsideOfPackage("io.anvilpick.peer.wire..")
            .should()
            .haveNameNotMatching("get[A-Z].*");

    @ArchTest
    static final ArchRule packagesHaveNoCycles =
            slices().matching("io.anvilpick.(**)").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule decisionsDoNotStartProcesses = noClasses()
            .that()
            .resideInAPackage("io.anvilpick..")
            .and()
            .resideOutsideOfPackages(ADAPTERS)
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.ProcessBuilder");

    @Test
    void noIoUringTransportIsOnTheClassPath() {
        assertFalse(System.getProperty("java.class.path").contains("io_uring"));
        assertTrue(isMissing("io.netty.channel.uring.IoUring"));
        assertTrue(isMissing("io.netty.incubator.channel.uring.IOUring"));
    }

    private static boolean isMissing(String className) {
        try {
            Class.forName(className);
            return false;
        } catch (ClassNotFoundException e) {
            return true;
        }
    }
}
