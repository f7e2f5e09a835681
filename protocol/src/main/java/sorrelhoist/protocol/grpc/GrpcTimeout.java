package sorrelhoist.protocol.grpc;

import java.util.concurrent.TimeUnit;

/** The grpc-timeout header: at most eight digits and a unit. */
public final class GrpcTimeout {
    /** No time-out was given. */
    public static final long NONE = -1;

    private static final int MAX_DIGITS = 8;
    private static final long MAX_NUMBER = 99_999_999;

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
                throw malformed(value);
            }
            number = number * 10 + c - '0';
        }
        if (digits < 1 || digits > MAX_DIGITS) {
            throw malformed(value);
        }
        return switch (value.charAt(digits)) {
            case 'H' -> TimeUnit.HOURS.toMicros(number);
            case 'M' -> TimeUnit.MINUTES.toMicros(number);
            case 'S' -> TimeUnit.SECONDS.toMicros(number);
            case 'm' -> TimeUnit.MILLISECONDS.toMicros(number);
            case 'u' -> number;
            case 'n' -> (number + 999) / 1000;
            default -> throw malformed(value);
        };
    }

    private static IllegalArgumentException malformed(String value) {
        return new IllegalArgumentException(
                "grpc-timeout \"" + value + "\": give one to eight digits and H, M, S, m, u or n");
    }

    /** {@return the header's value for so many microseconds; never longer than they are} */
    public static String format(long micros) {
        if (micros <= MAX_NUMBER) {
            return Math.max(1, micros) + "u";
        }
        long millis = micros / 1000;
        return millis <= MAX_NUMBER ? millis + "m" : Math.min(MAX_NUMBER, micros / 1_000_000) + "S";
    }
}
