package fordridge.emulator;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Records the changes of whether a machine may be used, when the emulated etcd sends them to a
 * scheduler. Called with the lock of the emulated etcd held.
 */
final class StoreChangeRecorder implements EmulatedEtcd.SendListener {
  private static final String SOURCE = "etcd";

  /** The kinds of records that determine whether a machine may be used. */
  private enum Subject {
    MACHINE,
    DRAIN;

    String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final WireRecorder recorder;
  private final String machinePrefix;
  private final String drainPrefix;
  private final Map<String, Set<String>> closedKeysByScheduler = new HashMap<>();

  StoreChangeRecorder(WireRecorder recorder, String prefix) {
    this.recorder = recorder;
    machinePrefix = prefix + "/machines/";
    drainPrefix = prefix + "/drains/";
  }

  @Override
  public void snapshotSent(String scheduler) {
    closedKeysByScheduler.remove(scheduler);
    recorder
        .event(SOURCE, RecordedEventKind.SNAPSHOT_SENT)
        .with(RecordField.SCHEDULER, scheduler)
        .write();
  }

  @Override
  public void recordSent(String scheduler, String key, boolean isDeleted) {
    Optional<Subject> subject = subject(key);
    if (subject.isEmpty()) {
      return;
    }
    boolean isClosed = (subject.get() == Subject.DRAIN) != isDeleted;
    Set<String> closedKeys =
        closedKeysByScheduler.computeIfAbsent(scheduler, name -> new HashSet<>());
    boolean isChanged = isClosed ? closedKeys.add(key) : closedKeys.remove(key);
    if (isChanged) {
      recorder
          .event(SOURCE, RecordedEventKind.CHANGE_SENT)
          .with(RecordField.SCHEDULER, scheduler)
          .with(RecordField.MACHINE, key.substring(key.lastIndexOf('/') + 1))
          .with(RecordField.SUBJECT, subject.get().text())
          .with(RecordField.IS_UNAVAILABLE, isClosed)
          .write();
    }
  }

  private Optional<Subject> subject(String key) {
    if (key.startsWith(drainPrefix)) {
      return Optional.of(Subject.DRAIN);
    }
    return key.startsWith(machinePrefix) ? Optional.of(Subject.MACHINE) : Optional.empty();
  }
}
