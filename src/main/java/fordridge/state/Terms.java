package fordridge.state;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/** What was read at start, by name, nested names joined by dots; and spans of time. It only reads. */
public final class Terms {
    private final Map<String, Object> values;

    public Terms(Map<String, Object> values) {
        this.values = values;
    }

    public double num(String name, double absent) {
        return values.get(name) instanceof Number n ? n.doubleValue() : absent;
    }

    public boolean flag(String name, boolean absent) {
        return values.get(name) instanceof Boolean b ? b : absent;
    }

    public String text(String name, String absent) {
        return values.get(name) instanceof String s ? s : absent;
    }

    public List<?> list(String name) {
        return values.get(name) instanceof List<?> l ? l : List.of();
    }

    public double item(String name, int i, double absent) {
        return i < list(name).size() && list(name).get(i) instanceof Number n ? n.doubleValue() : absent;
    }

    public Duration micros(String name, double absent) {
        return Duration.ofNanos((long) (num(name, absent) * 1000));
    }

    public static double seconds(Duration d) {
        return d.toNanos() / 1e9;
    }

    public static Duration seconds(double s) {
        return Duration.ofNanos((long) (s * 1e9));
    }

    /** Duration's own product and quotient go through big decimals: dear where each machine is looked at. */
    public static Duration times(Duration d, double by) {
        return Duration.ofNanos((long) (d.toNanos() * by));
    }
}
