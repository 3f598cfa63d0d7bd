package fordridge.emulator.record;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import net.jqwik.api.Example;

class WireRecorderTest {
  private static File temporaryFile() throws IOException {
    File file = Files.createTempFile("recording", ".jsonl").toFile();
    file.deleteOnExit();
    return file;
  }

  @Example
  void eachEventIsALineOfJsonWithItsFieldsInOrder() throws IOException {
    File file = temporaryFile();
    try (WireRecorder recorder = new WireRecorder(file)) {
      recorder
          .event("m1", RecordedEventKind.FINISHED)
          .with(RecordField.VM, "o/v")
          .with(RecordField.ATTEMPT_NUMBER, 3)
          .with(RecordField.HAS_RUN, false)
          .with(RecordField.AMOUNT, 0.5)
          .write();
      recorder.event("m1", RecordedEventKind.CRASH).write();
    }
    List<String> lines = Files.readAllLines(file.toPath());
    assertThat(lines).hasSize(2);
    assertThat(lines.get(0))
        .matches(
            "\\{\"t\":\\d+,\"at\":\"m1\",\"what\":\"finished\",\"vm\":\"o/v\",\"n\":3,"
                + "\"ran\":false,\"amount\":0.5\\}");
  }

  @Example
  void eventIsReadBackAsItWasWritten() throws IOException {
    File file = temporaryFile();
    try (WireRecorder recorder = new WireRecorder(file)) {
      recorder
          .event("m1", RecordedEventKind.FINISHED)
          .with(RecordField.VM, "o/v")
          .with(RecordField.ATTEMPT_NUMBER, 3)
          .with(RecordField.HAS_RUN, false)
          .with(RecordField.AMOUNT, 0.5)
          .write();
    }
    RecordedEvent event = RecordedEvent.parse(Files.readAllLines(file.toPath()).get(0), 1);
    assertThat(event.kind()).contains(RecordedEventKind.FINISHED);
    assertThat(event.source()).isEqualTo("m1");
    assertThat(event.text(RecordField.VM)).isEqualTo("o/v");
    assertThat(event.whole(RecordField.ATTEMPT_NUMBER)).isEqualTo(3);
    assertThat(event.isFalse(RecordField.HAS_RUN)).isTrue();
    assertThat(event.real(RecordField.AMOUNT)).isEqualTo(0.5);
  }

  @Example
  void missingFieldsReadAsEmptyZeroAndNeitherTrueNorFalse() throws IOException {
    RecordedEvent event = RecordedEvent.parse("{\"t\":7,\"at\":\"m1\",\"what\":\"other\"}", 1);
    assertThat(event.kind()).isEmpty();
    assertThat(event.timeUs()).isEqualTo(7);
    assertThat(event.text(RecordField.VM)).isEmpty();
    assertThat(event.whole(RecordField.ATTEMPT_NUMBER)).isZero();
    assertThat(event.isTrue(RecordField.HAS_RUN)).isFalse();
    assertThat(event.isFalse(RecordField.HAS_RUN)).isFalse();
  }

  @Example
  void textThatIsNotJsonFailsWithTheLineNumber() {
    assertThatThrownBy(() -> RecordedEvent.parse("{\"t\":", 12))
        .isInstanceOf(InvalidRecordingException.class)
        .hasMessageContaining("line 12");
  }

  @Example
  void eventsAfterCloseAreDropped() throws IOException {
    File file = temporaryFile();
    WireRecorder recorder = new WireRecorder(file);
    recorder.event("m1", RecordedEventKind.CRASH).write();
    recorder.close();
    recorder.event("m1", RecordedEventKind.CRASH).write();
    assertThat(Files.readAllLines(file.toPath())).hasSize(1);
  }
}
