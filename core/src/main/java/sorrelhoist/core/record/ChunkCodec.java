package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import sorrelhoist.routing.Routing;

/**
 * A record as bytes: a header, then chunks that each stand alone. A chunk has its length, a
 * checksum, the number of its first entry, and entries; it begins with what the router was made of,
 * and names that recur in it are written once. So a file may be cut anywhere, a damaged chunk costs
 * itself alone, and what is missing shows by the numbers.
 */
public final class ChunkCodec {
    /** What a file of them begins with; the last figure is the form's version. */
    private static final byte[] HEADER = {'S', 'R', 'L', 'R', 'E', 'C', '0', '1'};

    private static final int FRAME = 4 + 8;

    /** Bytes that one chunk may have. */
    public static final int MOST = 64 << 20;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Tags of entries, events and actions: once given, never given again. */
    private static final List<Class<? extends RecordEntry>> ENTRIES =
            List.of(
                    RecordEntry.Header.class,
                    RecordEntry.Decision.class,
                    RecordEntry.KnowledgeAdopted.class,
                    RecordEntry.RequestSubmitted.class,
                    RecordEntry.RequestCompleted.class,
                    RecordEntry.EntriesDropped.class,
                    RecordEntry.Marker.class);

    private static final List<Class<? extends Routing.Event>> EVENTS =
            List.of(
                    Routing.Members.class,
                    Routing.Arrived.class,
                    Routing.AttemptEnded.class,
                    Routing.StreamStarted.class,
                    Routing.PlaceAnswered.class,
                    Routing.ProbeAnswered.class,
                    Routing.TimerFired.class,
                    Routing.PeerMessage.class,
                    Routing.Seated.class,
                    Routing.ClientGone.class);
    private static final List<Class<? extends Routing.Action>> ACTIONS =
            List.of(
                    Routing.Send.class,
                    Routing.Reserve.class,
                    Routing.Release.class,
                    Routing.Refuse.class,
                    Routing.Fail.class,
                    Routing.Cancel.class,
                    Routing.Move.class,
                    Routing.Probe.class,
                    Routing.Timer.class,
                    Routing.Tell.class,
                    Routing.Follow.class,
                    Routing.FetchList.class,
                    Routing.CloseIdle.class,
                    Routing.Log.class);
    private static final Map<Class<?>, Integer> TAGS = new HashMap<>();
    private static final int TOLD = 1;

    static {
        for (List<? extends Class<?>> family : List.of(ENTRIES, EVENTS, ACTIONS)) {
            for (int i = 0; i < family.size(); i++) {
                TAGS.put(family.get(i), i);
            }
        }
    }

    /**
     * A chunk read.
     *
     * @param first number of its first entry; the head that each chunk has is not counted
     * @param head what the router was made of
     * @param entries the others
     */
    public record Chunk(long first, RecordEntry.Header head, List<RecordEntry> entries) {}

    /**
     * What a file holds.
     *
     * @param chunks the sound ones, in their order
     * @param faults what is wrong with the others, in plain words; a cut tail is none
     * @param foreign whether it is no record of this program at all
     */
    public record Read(List<Chunk> chunks, List<String> faults, boolean foreign) {}

    private ChunkCodec() {}

    /** {@return what a new file begins with} */
    public static byte[] fileHeader() {
        return HEADER.clone();
    }

    /** {@return 64 bits that tell texts apart} */
    public static long hash(String text) {
        return HASH.hashChars(text);
    }

    // ---- Writing
    // ------------------------------------------------------------------------------------------

    /** Writes texts in full the first time, and as a number from then on. */
    private static final class Known implements RecordForm.Texts {
        private static final int MOST_TEXTS = 4096;
        private static final int NULL = 0;
        private static final int NEW = 1;
        private static final int OLD = 2;
        private final Map<String, Integer> numbers = new HashMap<>();
        private final List<String> texts = new ArrayList<>();

        void clear() {
            numbers.clear();
        }

        @Override
        public void write(Bytes out, String text) {
            Integer number = text == null ? null : numbers.get(text);
            if (text == null) {
                out.count(NULL);
            } else if (number != null) {
                out.count(OLD + number);
            } else {
                out.count(NEW).text(text);
                if (numbers.size() < MOST_TEXTS) {
                    numbers.put(text, numbers.size());
                }
            }
        }

        @Override
        public String read(Input in) throws CorruptRecordException {
            long n = in.count();
            if (n == NULL) {
                return null;
            } else if (n == NEW) {
                String text = in.text();
                if (texts.size() < MOST_TEXTS) {
                    texts.add(text);
                }
                return text;
            } else if (n - OLD >= texts.size() || n < 0) {
                throw new CorruptRecordException("a name that was not given before");
            }
            return texts.get((int) (n - OLD));
        }
    }

    /** Writes one chunk after the other. */
    static final class Writer {
        private final Known texts = new Known();
        private final Bytes out = new Bytes();
        private int entries;

        /** Begins a chunk. */
        void begin(long first, RecordEntry.Header head) {
            out.cut(0);
            texts.clear();
            entries = 0;
            out.count(first);
            entry(head);
        }

        int size() {
            return out.size();
        }

        int entries() {
            return entries - 1;
        }

        void told(long at, Routing.Event event, List<Routing.Action> actions) {
            out.one(TOLD);
            int mark = out.open();
            out.number(at);
            tagged(event);
            out.count(actions.size());
            for (int i = 0; i < actions.size(); i++) {
                tagged(actions.get(i));
            }
            out.close(mark);
            entries++;
        }

        void entry(RecordEntry entry) {
            if (entry instanceof RecordEntry.Decision t) {
                told(t.at(), t.event(), t.actions());
            } else {
                tagged(entry);
                entries++;
            }
        }

        private void tagged(Object record) {
            out.one(TAGS.get(record.getClass()));
            int mark = out.open();
            RecordForm.of(record.getClass().asSubclass(Record.class)).write(out, record, texts);
            out.close(mark);
        }

        /** {@return the chunk with its frame} */
        byte[] end() {
            int length = out.size();
            return new Bytes()
                    .four(length)
                    .eight(HASH.hashBytes(out.array(), 0, length))
                    .raw(out.array(), length)
                    .copy();
        }
    }

    /** {@return an event's or an action's bytes, by which equals are told} */
    static byte[] bytes(Record one) {
        Writer w = new Writer();
        w.tagged(one);
        return w.out.copy();
    }

    // ---- Reading
    // ------------------------------------------------------------------------------------------

    /** Reads a file's bytes. Never fails: what cannot be read is said. */
    public static Read read(byte[] file) {
        int common = Math.min(file.length, HEADER.length);
        for (int i = 0; i < common; i++) {
            if (file[i] != HEADER[i]) {
                boolean other = i == HEADER.length - 1;
                return new Read(
                        List.of(),
                        List.of(
                                other
                                        ? "a record of another version of the form"
                                        : "no record of this program"),
                        !other);
            }
        }
        List<Chunk> chunks = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        Input in = new Input(file, HEADER.length, file.length);
        try {
            while (in.left() >= FRAME) {
                int at = file.length - in.left();
                int length = 0;
                for (int i = 0; i < 4; i++) {
                    length = length << 8 | in.one();
                }
                long sum = in.eight();
                if (length <= 0 || length > MOST) {
                    faults.add(
                            "a chunk of "
                                    + length
                                    + " bytes at byte "
                                    + at
                                    + "; nothing after it can be found");
                    break;
                } else if (length > in.left()) {
                    break;
                }
                int from = file.length - in.left();
                Input body = in.part(length);
                if (HASH.hashBytes(file, from, length) != sum) {
                    faults.add("a damaged chunk of " + length + " bytes at byte " + at);
                    continue;
                }
                try {
                    chunks.add(chunk(body));
                } catch (CorruptRecordException e) {
                    faults.add("the chunk at byte " + at + ": " + e.getMessage());
                }
            }
        } catch (CorruptRecordException e) {
            faults.add(e.getMessage());
        }
        return new Read(chunks, faults, false);
    }

    private static Chunk chunk(Input in) throws CorruptRecordException {
        Known texts = new Known();
        long first = in.count();
        List<RecordEntry> entries = new ArrayList<>();
        RecordEntry.Header head = null;
        while (in.left() > 0) {
            int tag = in.one();
            Input body = in.part(in.length(1));
            RecordEntry entry = tag == TOLD ? told(body, texts) : tagged(ENTRIES, tag, body, texts);
            if (head == null && !(entry instanceof RecordEntry.Header)) {
                throw new CorruptRecordException(
                        "it does not begin with what the router was made of");
            } else if (head == null) {
                head = (RecordEntry.Header) entry;
            } else {
                entries.add(entry);
            }
        }
        if (head == null) {
            throw new CorruptRecordException("it is empty");
        }
        return new Chunk(first, head, entries);
    }

    private static RecordEntry told(Input in, Known texts) throws CorruptRecordException {
        long at = in.number();
        Routing.Event event = tagged(EVENTS, in.one(), in.part(in.length(1)), texts);
        int n = in.length(2);
        List<Routing.Action> actions = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            actions.add(tagged(ACTIONS, in.one(), in.part(in.length(1)), texts));
        }
        return new RecordEntry.Decision(at, event, actions);
    }

    private static <T> T tagged(List<Class<? extends T>> family, int tag, Input in, Known texts)
            throws CorruptRecordException {
        if (tag >= family.size()) {
            throw new CorruptRecordException(
                    "an entry of kind " + tag + ", which this build does not know");
        }
        return RecordForm.of(family.get(tag)).read(in, texts);
    }
}
