package sorrelhoist.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FaultInjector.Injection;
import sorrelhoist.lab.soak.SystemCallFaults.Errno;
import sorrelhoist.lab.soak.SystemCallFaults.SystemCall;

/** Makes system calls of routers fail and steps their wall clocks, where the library is loaded. */
final class SystemFaults {
    private static final long CALLS_FAIL_MILLIS = 900;
    private static final int MAX_CALLS_BETWEEN_FAILURES = 4;
    private static final int HOUR_SECONDS = 3600;
    private static final int[] CLOCK_OFFSETS_SECONDS = {
        -HOUR_SECONDS, -7, -2, 0, 2, 7, HOUR_SECONDS
    };
    private static final List<SystemCall> CALLS =
            List.of(
                    SystemCall.ACCEPT,
                    SystemCall.SOCKET,
                    SystemCall.CONNECT,
                    SystemCall.READ,
                    SystemCall.WRITE,
                    SystemCall.EPOLL_WAIT);
    private static final List<Errno> ACCEPT_ERRORS =
            List.of(Errno.EMFILE, Errno.ENFILE, Errno.ECONNABORTED, Errno.ENOBUFS, Errno.ENOMEM);
    private static final List<Errno> SOCKET_ERRORS =
            List.of(Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM);
    private static final List<Errno> CONNECT_ERRORS =
            List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ETIMEDOUT, Errno.EHOSTUNREACH);
    private final ActionQueue actions;
    private final FaultLog log;

    SystemFaults(ActionQueue actions, FaultLog log) {
        this.actions = actions;
        this.log = log;
    }

    /** Makes one kind of system call fail, or do less than it was asked to, for a moment. */
    void failCalls(Injection fault) throws IOException {
        SystemCallFaults faults = fault.router().process.faults();
        if (faults == null) {
            return;
        }
        Random random = fault.random();
        SystemCall call = CALLS.get(random.nextInt(CALLS.size()));
        int every = 1 + random.nextInt(MAX_CALLS_BETWEEN_FAILURES);
        log.write("  " + call + ", each " + every);
        if (call == SystemCall.READ || call == SystemCall.WRITE) {
            faults.shorten(call, every);
        } else {
            List<Errno> errors = errorsOf(call);
            Errno error = errors.get(random.nextInt(errors.size()));
            // The JDK tries again at once after these two: it would never stop if each call failed.
            boolean retriedAtOnce = error == Errno.EINTR || error == Errno.ECONNABORTED;
            faults.fail(call, error, retriedAtOnce ? every + 1 : every);
        }
        actions.schedule(CALLS_FAIL_MILLIS, () -> faults.clear(call));
    }

    private static List<Errno> errorsOf(SystemCall call) {
        return switch (call) {
            case ACCEPT -> ACCEPT_ERRORS;
            case SOCKET -> SOCKET_ERRORS;
            case CONNECT -> CONNECT_ERRORS;
            default -> List.of(Errno.EINTR);
        };
    }

    /** Sets a router's wall clock off from now on. */
    void stepWallClock(Injection fault) {
        SystemCallFaults faults = fault.router().process.faults();
        if (faults != null) {
            int drawn = fault.random().nextInt(CLOCK_OFFSETS_SECONDS.length);
            faults.stepWallClock(TimeUnit.SECONDS.toNanos(CLOCK_OFFSETS_SECONDS[drawn]));
        }
    }
}
