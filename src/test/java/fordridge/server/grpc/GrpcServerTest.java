package fordridge.server.grpc;

import static fordridge.server.grpc.GrpcTestPeers.until;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.observability.Metrics;
import fordridge.server.grpc.GrpcTestPeers.ClientPeer;
import fordridge.server.grpc.GrpcTestPeers.MachinePeer;
import fordridge.settings.InvalidSettingsException;
import fordridge.v1.Ack;
import fordridge.v1.ClaimName;
import fordridge.v1.ClientMessage;
import fordridge.v1.Finished;
import fordridge.v1.FromMachine;
import fordridge.v1.Held;
import fordridge.v1.Offer;
import fordridge.v1.PlacerMessage.BodyCase;
import fordridge.v1.Report;
import fordridge.v1.Started;
import fordridge.v1.ToMachine;
import io.grpc.Status;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** The hard cases, each brought about on sockets between a real placer and scripted peers. */
class GrpcServerTest {
  private static Offer only(MachinePeer m) {
    until(() -> m.offers.size() == 1);
    return m.offers.get(0);
  }

  @Example
  void theClientsStreamBreaksAfterAOneShotsBindWasSentAndBeforeItWasAcknowledged()
      throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("");
      ClientPeer c = p.client("c").open(true).hello();
      String token = c.token();
      c.want("v", "once");
      until(() -> c.count(BodyCase.BOUND) == 1);
      // It came, but the client's process had not taken it in when its stream broke.
      c.breaks();
      c.heard.clear();
      c.open(true).hello(token, 0).want("v", "once");
      until(() -> c.count(BodyCase.BOUND) == 1);
      MachinePeer m = p.machines.get(0);
      m.say(
          FromMachine.newBuilder()
              .setFinished(
                  Finished.newBuilder()
                      .setClaim(only(m).getClaim())
                      .setHow(Finished.How.DONE)
                      .setRan(true))
              .build());
      until(() -> c.count(BodyCase.ENDED) == 1);
      assertThat(c.count(BodyCase.BOUND)).isEqualTo(1);
      assertThat(m.offers.size()).isEqualTo(1);
    }
  }

  @Example
  void aVmIsBoundWhileItsClientIsAwayAndHeardOfOnReturn() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("");
      MachinePeer m = p.machines.get(0);
      m.onOffer = o -> {};
      ClientPeer c = p.client("c").open(true).hello();
      String token = c.token();
      c.want("v", "once");
      Offer o = only(m);
      c.breaks();
      m.start(o);
      c.heard.clear();
      c.open(true).hello(token, 0);
      until(() -> c.count(BodyCase.BOUND) == 1);
    }
  }

  @Example
  void aMachineSlowsAndTheRestGoesOn() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.place("");
      p.machines.get(0).onOffer = o -> {};
      ClientPeer c = p.client("c").open(true).hello();
      for (int i = 0; i < 30; i++) {
        c.want("v" + i, "safe");
      }
      until(() -> c.count(BodyCase.BOUND) == 30);
      assertThat(p.machines.get(1).offers.size()).isEqualTo(30);
    }
  }

  @Example
  void theAnswerIsLostWhileProbesAreAnswered() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.place("");
      AtomicInteger started = new AtomicInteger();
      p.machines.forEach(m -> m.onOffer = o -> started.incrementAndGet());
      ClientPeer c = p.client("c").open(true).hello().want("v", "once");
      until(() -> c.count(BodyCase.ERRORED) == 1);
      assertThat(started.get()).isEqualTo(1);
      assertThat(c.count(BodyCase.DENIED)).isEqualTo(0);
      // The machine is told to let it go, so that it holds no room for nobody.
      until(
          () -> p.machines.stream().anyMatch(m -> m.heard.stream().anyMatch(ToMachine::hasCancel)));
    }
  }

  @Example
  void theStreamBreaksAfterTheOfferAndTheMachineComesBackRunningIt() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.place("machines { unsure = 10s, retry_least = 20ms }");
      p.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    m.holds(o.getClaim(), Held.State.RUNNING);
                    m.cut();
                  });
      ClientPeer c = p.client("c").open(true).hello().want("v", "once");
      until(() -> c.count(BodyCase.BOUND) == 1);
      assertThat(p.machines.stream().mapToInt(m -> m.offers.size()).sum()).isEqualTo(1);
    }
  }

  @Example
  void theStreamBreaksBeforeTheOfferWasTakenInAndTheVmGoesElsewhere() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.place("machines { unsure = 10s, retry_least = 20ms }");
      AtomicInteger cuts = new AtomicInteger();
      p.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    if (cuts.getAndIncrement() == 0) {
                      m.cut();
                    } else {
                      m.start(o);
                    }
                  });
      ClientPeer c = p.client("c").open(true).hello().want("v", "once");
      until(() -> c.count(BodyCase.BOUND) == 1);
      assertThat(p.machines.stream().mapToInt(m -> m.offers.size()).sum()).isEqualTo(2);
    }
  }

  @Example
  void theStreamBreaksAfterTheOfferAndTheMachineStaysAway() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.place("machines.unsure = 200ms");
      AtomicInteger offers = new AtomicInteger();
      p.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    offers.incrementAndGet();
                    m.close();
                  });
      ClientPeer c = p.client("c").open(true).hello().want("v", "once");
      until(() -> c.count(BodyCase.ERRORED) == 1);
      assertThat(offers.get()).isEqualTo(1);
    }
  }

  @Example
  void anAnswerAndOurCancelCross() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("");
      MachinePeer m = p.machines.get(0);
      m.onOffer = o -> {};
      ClientPeer c = p.client("c").open(true).hello().want("v", "safe");
      Offer o = only(m);
      c.to.onNext(
          ClientMessage.newBuilder()
              .setUnwant(fordridge.v1.Unwant.newBuilder().setVm("v"))
              .build());
      until(() -> m.heard.stream().anyMatch(ToMachine::hasCancel));
      m.start(o);
      m.onOffer = m::start;
      c.want("w", "safe");
      until(() -> c.count(BodyCase.BOUND) == 1);
      assertThat(c.heard.stream().anyMatch(x -> x.hasBound() && x.getBound().getVm().equals("v")))
          .isFalse();
    }
  }

  @Example
  void aMachineRestartsUnderItsAddressWithNothingRunning() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("machines.retry_least = 20ms");
      ClientPeer c = p.client("c").open(true).hello().want("v", "once");
      until(() -> c.count(BodyCase.BOUND) == 1);
      MachinePeer m = p.machines.get(0);
      m.incarnation++;
      m.cut();
      until(() -> c.count(BodyCase.ENDED) == 1);
      assertThat(c.heard.get(c.heard.size() - 1).getEnded().getHow())
          .isEqualTo(fordridge.v1.Ended.How.LOST);
    }
  }

  @Example
  void aPlacerThatStartsAnewFindsWhatRunsForIt() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      MachinePeer m = p.machines.get(0);
      m.holds(ClaimName.newBuilder().setVm("c/old").setNumber(1).build(), Held.State.RUNNING);
      p.place("");
      until(() -> m.streams == 1);
      until(() -> p.program.establishedStreams() == 1);
      ClientPeer c = p.client("c").open(true).hello().want("old", "once");
      until(() -> c.count(BodyCase.BOUND) == 1);
      assertThat(m.offers).isEmpty();
      m.say(
          FromMachine.newBuilder()
              .setFinished(
                  Finished.newBuilder()
                      .setClaim(ClaimName.newBuilder().setVm("c/old").setNumber(1))
                      .setHow(Finished.How.DONE)
                      .setRan(true))
              .build());
      until(() -> c.count(BodyCase.ENDED) == 1);
    }
  }

  /**
   * The one machine that may still run it cannot be reached yet: nothing is placed until it has
   * spoken.
   */
  @Example
  void aOneShotOfAnEarlierLifeWaitsForEveryMachinesWord() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      MachinePeer away = p.machines.get(0);
      away.down();
      away.holds(ClaimName.newBuilder().setVm("c/old").build(), Held.State.RUNNING);
      p.place("cluster.settle = 600ms, cluster.drain_grace = 100ms, machines.retry_most = 300ms");
      ClientPeer c = p.client("c").open(true).hello("from an earlier life", 7).want("old", "once");
      ClientPeer fresh = p.client("fresh").open(true).hello().want("new", "once");
      until(() -> fresh.count(BodyCase.BOUND) == 1);
      away.listen();
      until(() -> c.count(BodyCase.BOUND) == 1);
      assertThat(c.heard.get(c.heard.size() - 1).getBound().getMachine()).isEqualTo("m0");
      assertThat(p.machines.get(1).offers.size()).isEqualTo(1);
    }
  }

  @Example
  void aOneShotOfAnEarlierLifeIsErroredWhereAMachineStaysAway() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.machines.get(0).down();
      p.place("cluster.settle = 600ms, cluster.drain_grace = 100ms");
      ClientPeer c =
          p.client("c")
              .open(true)
              .hello("from an earlier life", 7)
              .want("old", "once")
              .want("safe", "safe");
      until(() -> c.count(BodyCase.ERRORED) == 1);
      assertThat(c.count(BodyCase.BOUND)).as("what may run again is placed").isEqualTo(1);
      assertThat(p.machines.get(1).offers.size()).isEqualTo(1);
    }
  }

  @Example
  void aDrainNoticeIsKeptFromTheInstantItIsKnown() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.place("");
      ClientPeer c = p.client("c").open(true).hello().want("first", "safe");
      until(() -> c.count(BodyCase.BOUND) == 1);
      p.list("m0 draining");
      until(() -> p.program.machineListVersion() > 1);
      int before = p.machines.get(0).offers.size();
      for (int i = 0; i < 20; i++) {
        c.want("v" + i, "safe");
      }
      until(() -> c.count(BodyCase.BOUND) == 21);
      assertThat(p.machines.get(0).offers.size()).isEqualTo(before);
    }
  }

  /**
   * The bound: at most sessions.unread answers kept for it, at most sessions.open VMs taken from
   * it.
   */
  @Example
  void aClientThatSendsAndNeverReadsIsLeftWaitingAndTheRestGoesOn() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("sessions { unread = 50, open = 100 }");
      ClientPeer deaf = p.client("deaf").open(false).hello();
      deaf.token();
      String padding = "x".repeat(150);
      for (int i = 0; i < 2000; i++) {
        deaf.want(padding + i, "safe");
      }
      ClientPeer c = p.client("c").open(true).hello();
      for (int i = 0; i < 20; i++) {
        c.want("v" + i, "safe");
      }
      until(() -> c.count(BodyCase.BOUND) == 20);
      int taken = p.machines.get(0).offers.size();
      assertThat(taken).isLessThan(1200);
      deaf.to.request(100_000);
      until(() -> deaf.count(BodyCase.BOUND) > 0);
      until(
          () -> {
            long seen = deaf.last();
            deaf.to.onNext(
                ClientMessage.newBuilder().setAck(Ack.newBuilder().setSeen(seen)).build());
            return seen >= 2000;
          });
    }
  }

  @Example
  void aMachineThatTakesTheConnectionAndNeverSpeaks() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1);
        ServerSocket mute = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      p.place("machines.connect_timeout = 700ms");
      p.list(
          "",
          "{ name = mute, address = \"127.0.0.1:"
              + mute.getLocalPort()
              + "\", kind = k, state = live, free_cores = 500, free_memory = 500 }");
      until(() -> p.program.machineListVersion() > 1);
      ClientPeer c = p.client("c").open(true).hello();
      for (int i = 0; i < 10; i++) {
        c.want("v" + i, "once");
      }
      until(() -> c.count(BodyCase.BOUND) + c.count(BodyCase.DENIED) == 10);
      assertThat(c.count(BodyCase.ERRORED)).isEqualTo(0);
      assertThat(c.count(BodyCase.BOUND)).isGreaterThan(0);
    }
  }

  @Example
  void aMessageOverTheLimitEndsItsStreamOnly() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("machines.max_message = 4KiB");
      ClientPeer big = p.client("big").open(true).hello();
      big.token();
      ClientPeer c = p.client("c").open(true).hello();
      big.want("x".repeat(9000), "safe");
      until(() -> big.status != null);
      assertThat(big.status.getCode())
          .as(big.status.toString())
          .isEqualTo(Status.Code.RESOURCE_EXHAUSTED);
      c.want("v", "safe");
      until(() -> c.count(BodyCase.BOUND) == 1);
    }
  }

  @Example
  void whatAClientMayNotSayIsRefusedWithTheFieldsName() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("");
      ClientPeer early = p.client("early").open(true).want("v", "safe");
      until(() -> early.status != null);
      assertThat(early.status.getCode()).isEqualTo(Status.Code.INVALID_ARGUMENT);
      assertThat(early.status.getDescription()).contains("hello");
      ClientPeer odd = p.client("odd").open(true).hello();
      odd.token();
      odd.to.onNext(
          ClientMessage.newBuilder()
              .setWant(
                  fordridge.v1.Want.newBuilder()
                      .setVm("v")
                      .setFlavour("safe")
                      .setCores(Double.NaN)
                      .setMemory(1))
              .build());
      until(() -> odd.status != null);
      assertThat(odd.status.getDescription()).contains("want.cores");
      ClientPeer ack = p.client("ack").open(true).hello();
      ack.to.onNext(ClientMessage.newBuilder().setAck(Ack.newBuilder().setSeen(9)).build());
      until(() -> ack.status != null);
      assertThat(ack.status.getDescription()).contains("9 was never sent");
      ClientPeer c = p.client("c").open(true).hello().want("v", "unheard-of").want("w", "safe");
      until(() -> c.count(BodyCase.BOUND) == 1);
      until(() -> c.count(BodyCase.DENIED) == 1);
    }
  }

  @Example
  void aMachineThatSaysWhatItMayNotIsLeftAndTheRestGoesOn() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.place("");
      MachinePeer odd = p.machines.get(0);
      odd.onOffer = o -> odd.say(FromMachine.getDefaultInstance());
      ClientPeer c = p.client("c").open(true).hello();
      for (int i = 0; i < 10; i++) {
        c.want("v" + i, "safe");
      }
      until(() -> c.count(BodyCase.BOUND) == 10);
    }
  }

  @Example
  void aRepeatOfAStartChangesNothing() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("");
      MachinePeer m = p.machines.get(0);
      m.onOffer =
          o -> {
            m.start(o);
            m.start(o);
            m.say(
                FromMachine.newBuilder()
                    .setStarted(
                        Started.newBuilder()
                            .setClaim(ClaimName.newBuilder().setVm("nobody's").setNumber(9)))
                    .build());
          };
      ClientPeer c = p.client("c").open(true).hello().want("v", "once").want("w", "once");
      until(() -> c.count(BodyCase.BOUND) == 2);
      assertThat(c.heard.size()).isEqualTo(3);
    }
  }

  @Example
  void stoppingAnswersEachVmInHandAndTakesNothingNew() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("placer.stop_within = 2s");
      MachinePeer m = p.machines.get(0);
      m.onOffer = o -> {};
      ClientPeer c = p.client("c").open(true).hello().want("out", "once");
      only(m);
      c.to.onNext(
          ClientPeer.wanted("held", "safe", 0)
              .mergeFrom(
                  ClientMessage.newBuilder()
                      .setWant(fordridge.v1.Want.newBuilder().setCores(999))
                      .build())
              .build());
      until(() -> p.program.pendingRequests() == 2);
      assertThat(p.program.shutdown()).isTrue();
      until(() -> c.count(BodyCase.ERRORED) + c.count(BodyCase.DENIED) == 2);
      assertThat(c.count(BodyCase.DENIED)).as("what never went out is denied").isEqualTo(1);
    }
  }

  private static void rules(GrpcTestPeers p, String text) throws Exception {
    java.io.File next = new java.io.File(p.folder, "rules.next");
    java.nio.file.Files.writeString(next.toPath(), text);
    java.nio.file.Files.move(
        next.toPath(),
        new java.io.File(p.folder, "rules.txt").toPath(),
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  @Example
  void tenantsRulesAreObeyedAndANewSetTakesOver() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(3)) {
      rules(p, "rule one: flavour once require spread at most 1 per machine;\n");
      p.place("constraints.file = rules.txt");
      ClientPeer c = p.client("c").open(true).hello();
      for (int i = 0; i < 3; i++) {
        c.want("v" + i, "once");
      }
      until(() -> c.count(BodyCase.BOUND) == 3);
      p.machines.forEach(m -> assertThat(m.offers.size()).isEqualTo(1));
      var why =
          fordridge.v1.OperatingGrpc.newBlockingStub(c.channel())
              .explain(
                  fordridge.v1.ExplainRequest.newBuilder()
                      .setFlavour("once")
                      .setService(1)
                      .build());
      assertThat(why.getSpotsList())
          .hasSize(3)
          .allMatch(
              x ->
                  !x.getAllowed()
                      && x.getReasons(0).contains("rule 'one'")
                      && x.getReasons(0).contains("1 in machine"));
      var own =
          fordridge.v1.OperatingGrpc.newBlockingStub(c.channel())
              .explain(fordridge.v1.ExplainRequest.newBuilder().setVm("c/v0").build());
      assertThat(own.getSpotsList().stream().filter(x -> x.getAllowed()).map(x -> x.getMachine()))
          .as("it does not stand in its own way")
          .containsExactly(own.getRunsOn());
      assertThatThrownBy(
              () ->
                  fordridge.v1.OperatingGrpc.newBlockingStub(c.channel())
                      .explain(fordridge.v1.ExplainRequest.newBuilder().setVm("c/none").build()))
          .hasMessageContaining("no VM 'c/none'");
      c.to.onNext(ClientPeer.wanted("fourth", "once", 600_000).build());
      until(() -> c.count(BodyCase.DENIED) == 1);
      // A set that cannot be read leaves the old one; a good one takes over for what is placed from
      // then on.
      rules(p, "rule one: flavour nope require;\n");
      rules(p, "rule two: flavour once require spread at most 2 per machine;\n");
      until(
          () -> {
            int bound = (int) c.count(BodyCase.BOUND);
            c.to.onNext(ClientPeer.wanted("w" + System.nanoTime(), "once", 300_000).build());
            return bound == 6;
          });
      p.machines.forEach(m -> assertThat(m.offers.size()).isEqualTo(2));
    }
  }

  @Example
  void aVmWhoseAttemptMayStillRunKeepsItsPlace() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      rules(p, "rule away: flavour safe require apart flavour once per machine;\n");
      p.place("constraints.file = rules.txt");
      p.machines.forEach(m -> m.onOffer = o -> {});
      ClientPeer c = p.client("c").open(true).hello().want("v", "once");
      until(() -> c.count(BodyCase.ERRORED) == 1);
      MachinePeer held = p.machines.get(0).offers.isEmpty() ? p.machines.get(1) : p.machines.get(0);
      MachinePeer free = held == p.machines.get(0) ? p.machines.get(1) : p.machines.get(0);
      p.machines.forEach(m -> m.onOffer = m::start);
      for (int i = 0; i < 10; i++) {
        c.want("w" + i, "safe");
      }
      until(() -> c.count(BodyCase.BOUND) == 10);
      assertThat(held.offers.size())
          .as("its answer is not known: nothing else may go there")
          .isEqualTo(1);
      held.say(
          FromMachine.newBuilder()
              .setFinished(
                  Finished.newBuilder()
                      .setClaim(held.offers.get(0).getClaim())
                      .setHow(Finished.How.CANCELLED))
              .build());
      free.onOffer = free::refuse;
      c.want("last", "safe");
      until(() -> held.offers.size() == 2);
    }
  }

  /** A set that could be met when it was read, until the machine for it left the list. */
  @Example
  void whatNoMachineMeetsAnyMoreIsDeniedAtOnceWithTheRules() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      rules(p, "rule a: flavour once require on machine m1;\n");
      p.place("constraints.file = rules.txt");
      ClientPeer c = p.client("c").open(true).hello().want("v", "once");
      until(() -> c.count(BodyCase.BOUND) == 1);
      p.list("m1 gone");
      until(
          () -> {
            c.to.onNext(ClientPeer.wanted("w" + System.nanoTime(), "once", 0).build());
            return c.count(BodyCase.DENIED) > 0;
          });
      String reason = c.heard.get(c.heard.size() - 1).getDenied().getReason();
      assertThat(reason).contains("rule 'a' (on machine m1)");
    }
  }

  @Example
  void aGroupIsHeardOfOnlyWhenAllOfItIsBound() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.place("");
      p.machines.forEach(m -> m.onOffer = o -> {});
      ClientPeer c = p.client("c").open(true).hello();
      c.wantTogether("g", 3, "a", "safe").wantTogether("g", 3, "b", "once");
      c.want("alone", "safe");
      until(() -> p.machines.stream().mapToInt(m -> m.offers.size()).sum() == 1);
      c.wantTogether("g", 3, "c", "safe");
      until(() -> p.machines.stream().mapToInt(m -> m.offers.size()).sum() == 4);
      for (MachinePeer m : p.machines) {
        m.offers.stream().filter(o -> !o.getClaim().getVm().equals("c/b")).forEach(m::start);
      }
      until(() -> c.count(BodyCase.BOUND) == 1);
      p.machines.forEach(
          m -> m.offers.stream().filter(o -> o.getClaim().getVm().equals("c/b")).forEach(m::start));
      until(() -> c.count(BodyCase.BOUND) == 4);
    }
  }

  @Example
  void aGroupOfWhichOneFindsNoPlaceIsTakenBack() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      p.place("cluster.most_claims = 1");
      p.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    if (o.getClaim().getVm().equals("c/bad")) {
                      return;
                    }
                    m.start(o);
                  });
      ClientPeer c = p.client("c").open(true).hello();
      c.wantTogether("g", 3, "a", "safe")
          .wantTogether("g", 3, "b", "once")
          .wantTogether("g", 3, "bad", "safe");
      until(() -> p.machines.stream().mapToInt(m -> m.offers.size()).sum() == 3);
      p.machines.forEach(
          m ->
              m.offers.stream()
                  .filter(o -> o.getClaim().getVm().equals("c/bad"))
                  .forEach(m::refuse));
      until(() -> c.count(BodyCase.DENIED) == 2 && c.count(BodyCase.ERRORED) == 1);
      assertThat(c.count(BodyCase.BOUND)).isEqualTo(0);
      until(
          () ->
              p.machines.stream().flatMap(m -> m.heard.stream()).filter(ToMachine::hasStop).count()
                  == 2);
      assertThat(
              c.heard.stream().filter(x -> x.hasErrored()).findFirst().get().getErrored().getVm())
          .isEqualTo("b");
    }
  }

  @Example
  void aGroupThatIsNeverWholeIsDeniedInTime() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("");
      ClientPeer c = p.client("c").open(true).hello();
      c.wantTogether("g", 3, "a", "safe")
          .wantTogether("g", 3, "b", "once")
          .wantTogether("g", 4, "x", "safe");
      until(() -> c.count(BodyCase.DENIED) == 3);
      assertThat(p.machines.get(0).offers).isEmpty();
      assertThat(
              c.heard.stream()
                  .anyMatch(
                      m ->
                          m.hasDenied() && m.getDenied().getReason().contains("begun with size 3")))
          .isTrue();
    }
  }

  @Example
  void aGroupThatWaitsForMoreIsDeniedWhenThePlacerStops() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("");
      ClientPeer c = p.client("c").open(true).hello();
      c.wantTogether("g", 3, "a", "safe").wantTogether("g", 3, "b", "once").want("alone", "safe");
      until(() -> c.count(BodyCase.BOUND) == 1);
      long from = System.nanoTime();
      assertThat(p.program.shutdown()).isTrue();
      until(() -> c.count(BodyCase.DENIED) == 2);
      assertThat(System.nanoTime() - from)
          .as("well before their own time is up")
          .isLessThan(3_000_000_000L);
    }
  }

  @Example
  void aGroupThatMustShareAMachineGoesToOneOrIsRefusedAtOnceWhereNoneIsLargeEnough()
      throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(3)) {
      rules(
          p,
          "rule one: flavour once require near flavour once per machine;\n"
              + "rule other: flavour safe require spread at most 9 per machine;\n");
      p.place("constraints.file = rules.txt");
      ClientPeer c = p.client("c").open(true).hello();
      for (String vm : List.of("a", "b", "c")) {
        c.wantTogether("g", 3, vm, "once");
      }
      until(() -> c.count(BodyCase.BOUND) == 3);
      assertThat(p.machines.stream().filter(m -> !m.offers.isEmpty()).count()).isEqualTo(1);
      for (int i = 0; i < 3; i++) {
        c.wantTogether("h", 3, "h" + i, "once", 9);
      }
      until(() -> c.count(BodyCase.DENIED) == 3);
      assertThat(c.heard.get(c.heard.size() - 1).getDenied().getReason())
          .contains("rule 'one' (near flavour once per machine) and the size of the machines");
      assertThat(p.machines.stream().mapToInt(m -> m.offers.size()).sum())
          .as("none was sent out")
          .isEqualTo(3);
    }
  }

  @Example
  void aRuleThatChangesWhileItsGroupIsHalfBoundHoldsForTheRest() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2)) {
      rules(p, "rule any: all require spread at most 9 per machine;\n");
      p.place("constraints.file = rules.txt");
      p.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    if (!o.getClaim().getVm().equals("c/late")) {
                      m.start(o);
                    }
                  });
      ClientPeer c = p.client("c").open(true).hello();
      c.wantTogether("g", 2, "early", "safe").wantTogether("g", 2, "late", "once");
      until(() -> p.machines.stream().mapToInt(m -> m.offers.size()).sum() == 2);
      MachinePeer mine =
          p.machines.get(0).offers.stream().anyMatch(o -> o.getClaim().getVm().equals("c/early"))
              ? p.machines.get(0)
              : p.machines.get(1);
      rules(p, "rule off: flavour once require apart flavour safe per machine;\n");
      until(
          () -> {
            var why =
                fordridge.v1.OperatingGrpc.newBlockingStub(c.channel())
                    .explain(
                        fordridge.v1.ExplainRequest.newBuilder()
                            .setFlavour("once")
                            .setService(1)
                            .build());
            return why.getSpotsList().stream().anyMatch(x -> !x.getAllowed());
          });
      // Sent away from where it stands, the second goes to the other machine alone.
      for (MachinePeer m : p.machines) {
        m.onOffer =
            o -> {
              if (m == mine) {
                m.refuse(o);
              } else {
                m.start(o);
              }
            };
        m.offers.stream().filter(o -> o.getClaim().getVm().equals("c/late")).forEach(m::refuse);
      }
      until(() -> c.count(BodyCase.BOUND) == 2 || c.count(BodyCase.DENIED) == 2);
      assertThat(
              c.heard.stream()
                  .filter(x -> x.hasBound() && x.getBound().getVm().equals("late"))
                  .allMatch(x -> !x.getBound().getMachine().equals(mine.name)))
          .isTrue();
    }
  }

  @Example
  void termsAndRulesInTheStoreTakeOverWhileItRuns() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1);
        fordridge.emulator.EmulatedEtcd etcd = new fordridge.emulator.EmulatedEtcd()) {
      etcd.put(
          "/c/machines/m0",
          "{\"v\":2,\"address\":\"127.0.0.1:"
              + p.machines.get(0).port
              + "\",\"kind\":\"k\",\"cores\":16,\"memory\":64}");
      p.place(
          "machines.source = etcd, etcd { endpoints = [\"127.0.0.1:"
              + etcd.port()
              + "\"], prefix = \"/c\" }");
      ClientPeer c = p.client("c").open(true).hello().want("v", "fresh");
      until(() -> c.count(BodyCase.DENIED) == 1);
      String own =
          "flavours = [{ name = safe, effect = rebuildable, build_target = 300ms, build_timeout = 4s }, "
              + "{ name = once, effect = one-shot, build_target = 300ms, build_timeout = 4s }";
      etcd.put("/c/terms/deployment", "flavours = [{ name = safe }]");
      etcd.put("/c/terms/deployment", own + ", { name = fresh, effect = rebuildable }]");
      until(
          () -> {
            c.want("w" + System.nanoTime(), "fresh");
            return c.count(BodyCase.BOUND) > 0;
          });
      etcd.put("/c/terms/constraints", "rule none: flavour fresh require on machine elsewhere;");
      etcd.put(
          "/c/terms/constraints", "rule one: flavour once require spread at most 1 per machine;");
      until(
          () -> {
            c.to.onNext(ClientPeer.wanted("x" + System.nanoTime(), "once", 300_000).build());
            return c.heard.stream()
                    .filter(m -> m.hasDenied() && m.getDenied().getVm().startsWith("x"))
                    .count()
                > 0;
          });
    }
  }

  @Example
  void rulesThatCannotBeReadOrKeptStopTheStart() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      rules(p, "rule a: flavour nope require on kind k;\n");
      assertThatThrownBy(() -> p.place("constraints.file = rules.txt"))
          .isInstanceOf(InvalidSettingsException.class)
          .hasMessageContaining("no flavour 'nope'");
      rules(
          p, "rule a: flavour once require on kind k;\nrule b: service 3 require on not kind k;\n");
      assertThatThrownBy(() -> p.place("constraints.file = rules.txt"))
          .hasMessageContaining("rule 'b' (line 2: on not (kind k)) is met by no machine");
      rules(p, "rule a: flavour once require spread at most 1 per zone overall;\n");
      assertThatThrownBy(() -> p.place("constraints.file = rules.txt, placer.placers = 5"))
          .hasMessageContaining("5 placers");
    }
  }

  @Example
  void aMalformedListLeavesTheLastGoodOneInForce() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("");
      java.nio.file.Files.writeString(
          new java.io.File(p.folder, "list.conf").toPath(), "version = 1\nmachines = [{\n");
      ClientPeer c = p.client("c").open(true).hello().want("v", "safe");
      until(() -> c.count(BodyCase.BOUND) == 1);
      assertThat(p.program.machineListVersion()).isEqualTo(1);
      p.list("m0 gone");
      until(() -> p.program.machineListVersion() == 2);
    }
  }

  @Example
  void whatCannotBeHadAtStartIsSaid() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(0);
        ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      assertThatThrownBy(() -> p.place("placer.listen.port = " + taken.getLocalPort()))
          .hasMessageContaining(String.valueOf(taken.getLocalPort()));
      assertThatThrownBy(() -> p.place("machines.list = nowhere.conf"))
          .isInstanceOf(InvalidSettingsException.class)
          .hasMessageContaining("nowhere.conf: no such file");
    }
  }

  /** Held at once by a real placer: the loop must stay quick for everyone else. */
  @Example
  void sixThousandVmsHeldAtOnceAreAllAnsweredInTime() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(3)) {
      p.place(
          "sessions { open = 10000, unread = 10000 }, placer { max_open = 10000, answer_margin = 500ms }");
      p.machines.forEach(m -> m.onOffer = m::refuse);
      ClientPeer c = p.client("c").open(true).hello();
      c.token();
      for (int i = 0; i < 6000; i++) {
        c.want("v" + i, List.of("safe", "once").get(i % 2));
      }
      until(() -> c.count(BodyCase.DENIED) + c.count(BodyCase.ERRORED) == 6000);
      // On a slow machine an answer may be late, and a one-shot errored; but each VM has one
      // answer.
      assertThat(
              c.heard.stream()
                  .filter(m -> !m.hasWelcome())
                  .map(m -> m.hasDenied() ? m.getDenied().getVm() : m.getErrored().getVm())
                  .distinct()
                  .count())
          .isEqualTo(6000);
    }
  }

  /** A stand-in of another placer hears of a report, and what it tells shuts a machine. */
  @Example
  void notesGoBetweenPlacers() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(2);
        DatagramSocket other = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        DatagramSocket stranger = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      other.setSoTimeout(20_000);
      p.place(
          "placer { placers = 2, notes.to = [\"127.0.0.1:"
              + other.getLocalPort()
              + "\"] }\n"
              + "cluster { notes = true, settle = 60s }");
      InetSocketAddress to = new InetSocketAddress("127.0.0.1", p.program.gossipPort(0));
      ClientPeer c = p.client("c").open(true).hello();
      c.want("v", "safe");
      until(() -> c.count(BodyCase.BOUND) == 1);
      MachinePeer took = p.machines.get(p.machines.get(0).offers.isEmpty() ? 1 : 0);
      took.say(
          FromMachine.newBuilder()
              .setReport(Report.newBuilder().setSpareCores(8).setSpareMemory(32).setBusy(0.5))
              .build());
      DatagramPacket heard = new DatagramPacket(new byte[300], 300);
      other.receive(heard);
      String note = new String(heard.getData(), 0, heard.getLength(), StandardCharsets.UTF_8);
      assertThat(note.length()).isEqualTo(5);
      byte[] noAnswer = note.substring(0, 3).getBytes(StandardCharsets.UTF_8);
      stranger.send(new DatagramPacket(noAnswer, 3, to));
      other.send(new DatagramPacket(noAnswer, 3, to));
      until(() -> p.program.metrics().gossipReceivedCount() == 1);
      int before = took.offers.size();
      c.want("w", "safe");
      until(() -> c.count(BodyCase.BOUND) == 2);
      assertThat(took.offers.size()).isEqualTo(before);
    }
  }

  private static void watched(GrpcTestPeers p, String terms) throws Exception {
    Files.writeString(p.folder.toPath().resolve("next.conf"), terms);
    p.place("watch.terms = next.conf");
  }

  private static double otherwise(GrpcTestPeers p) {
    return Stream.of(Metrics.ShadowDifference.values())
        .mapToDouble(p.program.metrics()::shadowDifferences)
        .sum();
  }

  /** Under the same terms nothing is decided otherwise: what is counted is the terms' doing. */
  @Example
  void watchingTheSameTermsCountsNothing() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(3)) {
      watched(p, "cluster.most_claims = 3");
      ClientPeer c = p.client("c").open(true).hello();
      for (int i = 0; i < 30; i++) {
        c.want("v" + i, i % 3 == 0 ? "once" : "safe");
      }
      until(() -> c.count(BodyCase.BOUND) == 30);
      c.to.onNext(sized("big", 999, 1_000_000));
      until(() -> c.count(BodyCase.DENIED) == 1);
      assertThat(otherwise(p)).isEqualTo(0);
    }
  }

  /**
   * VMs that run from an earlier life, and customers' rules, are known to the one that looks on as
   * they are to ours.
   */
  @Example
  void watchingTheSameTermsCountsNothingUnderRulesAndAfterARestart() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(3)) {
      Files.writeString(p.folder.toPath().resolve("next.conf"), "cluster.most_claims = 3");
      Files.writeString(
          p.folder.toPath().resolve("rules.txt"),
          "rule few: flavour safe require spread at most 4 per machine;\n");
      MachinePeer m = p.machines.get(0);
      m.holds(ClaimName.newBuilder().setVm("c/old").setNumber(1).build(), Held.State.RUNNING);
      p.place("watch.terms = next.conf\nconstraints.file = rules.txt");
      until(() -> p.program.establishedStreams() > 0 && m.streams == 1);
      ClientPeer c = p.client("c").open(true).hello().want("old", "once");
      until(() -> c.count(BodyCase.BOUND) == 1);
      for (int i = 0; i < 9; i++) {
        int n = i + 2;
        c.want("v" + i, "safe");
        until(() -> c.count(BodyCase.BOUND) >= n);
      }
      assertThat(p.machines.stream().mapToInt(x -> x.offers.size()).max().getAsInt())
          .isLessThanOrEqualTo(4);
      assertThat(otherwise(p)).isEqualTo(0);
    }
  }

  /** With time left in microseconds; 0 for the whole build timeout. */
  private static ClientMessage sized(String vm, double cores, long leftUs) {
    ClientMessage.Builder m = ClientPeer.wanted(vm, "safe", leftUs);
    m.getWantBuilder().setCores(cores);
    return m.build();
  }

  /**
   * The placer decides as before; where the next terms hold a VM that it places, or give no advice,
   * it is counted.
   */
  @Example
  void watchingOtherTermsCountsByKindAndChangesNothing() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      watched(
          p,
          "cluster { free_in_list = false, retry_after = false, list_comes = ask, ask_within = 10s }");
      ClientPeer c = p.client("c").open(true).hello();
      c.to.onNext(sized("fits", 15, 0));
      until(() -> c.count(BodyCase.BOUND) == 1);
      c.to.onNext(sized("big", 999, 1_000_000));
      until(() -> c.count(BodyCase.DENIED) == 1);
      assertThat(
              c.heard.stream()
                  .filter(m -> m.getBodyCase() == BodyCase.DENIED)
                  .findFirst()
                  .get()
                  .getDenied()
                  .getRetryAfterUs())
          .isGreaterThan(0);
      until(() -> p.program.metrics().shadowDifferences(Metrics.ShadowDifference.RETRY_AFTER) == 1);
      assertThat(p.program.metrics().shadowDifferences(Metrics.ShadowDifference.HOLD)).isEqualTo(1);
      assertThat(p.program.metrics().shadowDifferences(Metrics.ShadowDifference.LIST_ASK))
          .isEqualTo(1);
      assertThat(p.program.metrics().shadowDifferences(Metrics.ShadowDifference.MACHINE))
          .isEqualTo(0);
      assertThat(p.program.metrics().scrape())
          .contains("fordridge_watch_otherwise_total{kind=\"hold\"} 1.0");
    }
  }

  @Example
  void watchedTermsAreCheckedBeforeAnythingStarts() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      assertThatThrownBy(() -> watched(p, "cluster.list_comes = shout"))
          .isInstanceOf(InvalidSettingsException.class)
          .hasMessageContaining("watch.terms")
          .hasMessageContaining("push, ask");
      assertThatThrownBy(() -> p.place("watch.terms = nowhere.conf"))
          .hasMessageContaining("no such file");
    }
  }

  /**
   * Where the list is asked for, the answer is the list that its source has: VMs are placed from
   * the start.
   */
  @Example
  void aListThatIsAskedForIsAnswered() throws Exception {
    try (GrpcTestPeers p = new GrpcTestPeers(1)) {
      p.place("cluster.list_comes = ask");
      ClientPeer c = p.client("c").open(true).hello();
      c.want("v", "once");
      until(() -> c.count(BodyCase.BOUND) == 1);
    }
  }
}
