package sorrelhoist.core.reservation;

/** What an attempt does with the reservations of its request. */
public enum AttemptPurpose {
    /** Reads the prompt; its end may add a state. */
    READ,
    /** Fetches the state that is held, and answers. */
    FETCH,
    /** Reads the prompt by itself and answers; it takes nothing that is held. */
    READ_AND_ANSWER
}
