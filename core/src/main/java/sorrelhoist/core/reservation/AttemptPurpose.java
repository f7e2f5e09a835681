package sorrelhoist.core.reservation;

/** What an attempt does with the reservations of its request. */
public enum AttemptPurpose {
    /** Reads the prompt; its end may add a state. */
    PREFILL,
    /** Uses what is reserved, and answers. */
    DECODE_RESERVED,
    /** Reads the prompt by itself and answers; it uses nothing that is reserved. */
    PREFILL_AND_DECODE
}
