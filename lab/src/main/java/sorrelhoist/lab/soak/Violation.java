package sorrelhoist.lab.soak;

import java.util.Locale;

/**
 * One broken invariant.
 *
 * @param invariant which
 * @param subject the request's id, or a process's name
 * @param atSeconds when, from the start of the traffic
 * @param detail what was seen
 */
public record Violation(Invariant invariant, String subject, double atSeconds, String detail) {
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "%s %s at %.3f s: %s", invariant, subject, atSeconds, detail);
    }
}
