package sorrelhoist.protocol.grpc;

import java.util.concurrent.TimeUnit;

/** The grpc-timeout header: at most eight digits and a unit. */
public final class GrpcTimeout {
    /** No time-out was given. */
    public static final long NONE = -1;

    private static final int DIGITS = 8;

    private GrpcTimeout() {}

    /**
     * Reads the header.
     *
     * @param value the header, or null
     * @return microseconds, rounded up, or {@link #NONE} without a header
     * @throws IllegalArgumentException where it has another form
     */
    public static long parse(String value) {
        if (value == null) {
            return NONE;
        }
        int digits = value.length() - 1;
        long number = 0;
        for (int i = 0; i < digits; i++) {
            char c = value.charAt(i);
            if (c < '0' || c > '9') {
                throw bad(value);
            }
            number = number * 10 + c - '0';
        }
        if (digits < 1 || digits > DIGITS) {
            throw bad(value);
        }
        return switch (value.charAt(digits)) {
            case 'H' -> TimeUnit.HOURS.toMicros(number);
            case 'M' -> TimeUnit.MINUTES.toMicros(number);
            case 'S' -> TimeUnit.SECONDS.toMicros(number);
            case 'm' -> TimeUnit.MILLISECONDS.toMicros(number);
            case 'u' -> number;
            case 'n' -> (number + 999) / 1000;
            default -> throw bad(value);
        };
    }

    private static IllegalArgumentException bad(String value) {
        return new IllegalArgumentException(
                "grpc-timeout \""
                        + value
                        + "\": give one to eight digits and H, M, S, m,"
                        + " u or n");
    }

    /** {@return the header's value for so many microseconds; never longer than they are} */
    public static String format(long micros) {
        long most = 99_999_999;
        return micros <= most
                ? Math.max(1, micros) + "u"
                : micros / 1000 <= most
                        ? micros / 1000 + "m"
                        : Math.min(most, micros / 1_000_000) + "S";
    }
}
