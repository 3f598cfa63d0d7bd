package fordridge;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;

/** Arrows between packages point down, and what decides stays free of sockets, files, threads and clocks. */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("fordridge");

    @Example
    void arrowsPointDown() {
        layeredArchitecture().consideringOnlyDependenciesInLayers()
                .layer("cli").definedBy("fordridge.cli..")
                .layer("rig").definedBy("fordridge.rig..")
                .layer("programs").definedBy("fordridge.placer..", "fordridge.drill..", "fordridge.node..")
                .layer("transport").definedBy("fordridge.rpc..", "fordridge.obs..", "fordridge.etcd..",
                        "fordridge.jsonl..")
                .layer("decisions").definedBy("fordridge.link..", "fordridge.session..", "fordridge.feed..",
                        "fordridge.membership..", "fordridge.constraint..", "fordridge.group..")
                .layer("state").definedBy("fordridge.state..", "fordridge.door..")
                .whereLayer("cli").mayNotBeAccessedByAnyLayer()
                .whereLayer("rig").mayOnlyBeAccessedByLayers("cli")
                .whereLayer("programs").mayOnlyBeAccessedByLayers("cli", "rig")
                .whereLayer("transport").mayOnlyBeAccessedByLayers("cli", "rig", "programs")
                .whereLayer("decisions").mayOnlyBeAccessedByLayers("cli", "rig", "programs", "transport")
                .check(ALL);
    }

    @Example
    void decisionsAreFreeOfTheWorld() {
        classes().that(resideInAnyPackage("fordridge.link..", "fordridge.session..", "fordridge.feed..",
                "fordridge.membership..", "fordridge.state..", "fordridge.door..")).or()
                .haveFullyQualifiedName("fordridge.Logic")
                .should().onlyDependOnClassesThat(resideInAnyPackage("fordridge.link..", "fordridge.session..",
                        "fordridge.feed..", "fordridge.membership..", "fordridge.state..", "fordridge.door..",
                        "java.lang..", "java.util..",
                        "java.time..", "java.nio", "java.nio.charset..").or(resideInAPackage("fordridge")))
                .check(ALL);
        noClasses().that(resideInAnyPackage("fordridge.constraint..")).should().dependOnClassesThat(
                resideInAnyPackage("io.grpc..", "io.netty..", "java.io..", "java.nio..")).check(ALL);
        noClasses().that(resideInAnyPackage("fordridge.link..", "fordridge.session..", "fordridge.state..",
                "fordridge.membership..", "fordridge.constraint..", "fordridge.group.."))
                .or().haveFullyQualifiedName("fordridge.Logic")
                .should().dependOnClassesThat().haveFullyQualifiedName("java.time.Instant")
                .orShould().dependOnClassesThat().haveFullyQualifiedName("java.util.Random")
                .orShould().dependOnClassesThat(resideInAPackage("java.util.concurrent..")
                        .and(not(resideInAPackage("java.util.concurrent.atomic.."))))
                .orShould().callMethod(System.class, "nanoTime")
                .orShould().callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    @Example
    void theModelOfAMachineRunsWithoutSockets() {
        noClasses().that().haveSimpleName("MachineModel").should().dependOnClassesThat(resideInAnyPackage("io.grpc..",
                "io.netty..", "java.io..")).check(ALL);
    }
}
