package sorrelhoist.lab.soak;

/** How a worker hangs: its connections stay open, and it answers nothing. */
enum HangMode {
    /** Its process is stopped: it takes no bytes, and does not notice that connections end. */
    STOPPED,
    /**
     * Its process runs, and its work stands still: it takes requests into its queue, and notices
     * that connections end.
     */
    STALLED
}
