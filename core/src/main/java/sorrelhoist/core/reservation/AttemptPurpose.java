package sorrelhoist.core.reservation;

/** What an attempt does with the reservations of its request. */
public enum AttemptPurpose {
    /** Reads the prompt; its end may add a state. */
    PREFILL,
    /** Fetches the state that is held, and answers. */
    DECODE_RESERVED,
    /** Reads the prompt by itself and answers; it takes nothing that is held. */
    PREFILL_AND_DECODE
}
