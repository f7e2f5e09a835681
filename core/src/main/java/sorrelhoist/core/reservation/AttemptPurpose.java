package sorrelhoist.core.reservation;

/** How an attempt uses the reservations of its request. */
public enum AttemptPurpose {
    /** Reads the prompt; may create a prefill state. */
    PREFILL,
    /** Uses the reserved resources and generates the answer. */
    DECODE_RESERVED,
    /** Reads the prompt itself and generates the answer; uses no reserved resources. */
    PREFILL_AND_DECODE
}
