package sorrelhoist.protocol.grpc;

import java.util.concurrent.TimeUnit;

/** Parses and formats the grpc-timeout header: one to eight digits and a unit. */
public final class GrpcTimeout {
    /** Value for a call without a timeout. */
    public static final long NONE = -1;

    private static final int MAX_DIGITS = 8;
    private static final long MAX_NUMBER = 99_999_999;

    private GrpcTimeout() {}

    /**
     * Parses the header.
     *
     * @param value the header's value, or null if the header is missing
     * @return the timeout in microseconds, rounded up, or {@link #NONE} without a header
     * @throws IllegalArgumentException if the value is malformed
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

    /**
     * {@return the header's value for a timeout in microseconds, at least 1; rounded down if the
     * unit has to be larger than a microsecond}
     */
    public static String format(long micros) {
        if (micros <= MAX_NUMBER) {
            return Math.max(1, micros) + "u";
        }
        long millis = micros / 1000;
        return millis <= MAX_NUMBER ? millis + "m" : Math.min(MAX_NUMBER, micros / 1_000_000) + "S";
    }
}
