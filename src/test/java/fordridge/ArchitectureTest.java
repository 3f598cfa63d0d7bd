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

/**
 * Dependencies between packages point downward, and packages that make decisions do not depend on
 * sockets, files, threads or clocks.
 */
class ArchitectureTest {
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("fordridge");

  /**
   * Packages that make decisions or keep state; they use I/O only through interfaces that they
   * declare.
   */
  private static final String[] FREE_OF_IO = {
    "fordridge.model..",
    "fordridge.scheduling..",
    "fordridge.runtime..",
    "fordridge.machine..",
    "fordridge.session..",
    "fordridge.membership.."
  };

  @Example
  void dependenciesPointDownward() {
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("cli")
        .definedBy("fordridge.cli..")
        .layer("emulator")
        .definedBy("fordridge.emulator..")
        .layer("programs")
        .definedBy("fordridge.server..", "fordridge.simulation..")
        .layer("transport")
        .definedBy(
            "fordridge.grpc..",
            "fordridge.observability..",
            "fordridge.etcd..",
            "fordridge.json..",
            "fordridge.eventloop..")
        .layer("decisions")
        .definedBy(
            "fordridge.machine..",
            "fordridge.session..",
            "fordridge.runtime..",
            "fordridge.membership..",
            "fordridge.constraint..",
            "fordridge.group..")
        .layer("scheduling")
        .definedBy("fordridge.scheduling..")
        .layer("model")
        .definedBy("fordridge.model..")
        .whereLayer("cli")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("emulator")
        .mayOnlyBeAccessedByLayers("cli")
        .whereLayer("programs")
        .mayOnlyBeAccessedByLayers("cli", "emulator")
        .whereLayer("transport")
        .mayOnlyBeAccessedByLayers("cli", "emulator", "programs")
        .whereLayer("decisions")
        .mayOnlyBeAccessedByLayers("cli", "emulator", "programs", "transport")
        .whereLayer("scheduling")
        .mayOnlyBeAccessedByLayers("emulator", "programs", "decisions")
        .whereLayer("model")
        .mayOnlyBeAccessedByLayers(
            "cli", "emulator", "programs", "transport", "decisions", "scheduling")
        .check(ALL);
  }

  @Example
  void decidingPackagesDependOnNoSocketsFilesThreadsOrClocks() {
    classes()
        .that(resideInAnyPackage(FREE_OF_IO))
        .should()
        .onlyDependOnClassesThat(
            resideInAnyPackage(FREE_OF_IO)
                .or(
                    resideInAnyPackage(
                        "java.lang..",
                        "java.util..",
                        "java.time..",
                        "java.nio",
                        "java.nio.charset..")))
        .check(ALL);
    noClasses()
        .that(resideInAnyPackage("fordridge.constraint.."))
        .should()
        .dependOnClassesThat(
            resideInAnyPackage("io.grpc..", "io.netty..", "java.io..", "java.nio.."))
        .check(ALL);
    noClasses()
        .that(resideInAnyPackage(FREE_OF_IO))
        .or()
        .resideInAnyPackage("fordridge.constraint..", "fordridge.group..")
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.time.Instant")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.util.Random")
        .orShould()
        .dependOnClassesThat(
            resideInAPackage("java.util.concurrent..")
                .and(not(resideInAPackage("java.util.concurrent.atomic.."))))
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(ALL);
  }

  @Example
  void machineModelDependsOnNoSocketsOrFiles() {
    noClasses()
        .that()
        .haveSimpleName("MachineModel")
        .should()
        .dependOnClassesThat(resideInAnyPackage("io.grpc..", "io.netty..", "java.io.."))
        .check(ALL);
  }
}
