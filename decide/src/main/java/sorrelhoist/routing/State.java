package sorrelhoist.routing;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sorrelhoist.routing.Routing.*;

/**
 * What {@link RoutingPolicy} keeps about servers and requests: plain fields, no decision and no
 * tuned value.
 */
final class State {
    /** Class and tenant make up one number. */
    static final int PAYERS = 1000;

    private State() {}

    record Sent(long at, double cost) {}

    /** A server as this router knows it. */
    static final class Peer {
        final String id;
        int zone;
        int kind;
        int cell;
        ServerState state = ServerState.GONE;
        double size;
        long since;
        long startedAt = SlowStart.LONG_AGO;
        final ArrayDeque<Sent> sends = new ArrayDeque<>();
        final ArrayDeque<Long> served = new ArrayDeque<>();
        final Map<Long, Attempt> waiting = new LinkedHashMap<>();
        double load;
        double memory;
        long tokens;
        int out;
        double bad;
        double slow = 1;
        int heard;
        boolean aside;
        int good;
        long trialAt;
        long trialWait;
        final Map<Integer, Long> fullUntil = new TreeMap<>();
        final DecayingDelay lag = new DecayingDelay();
        final DecayingDelay ill = new DecayingDelay();
        double behind;
        long probedAt;
        long provenAt = Long.MIN_VALUE;
        boolean hearsay;
        long readDoneAt;

        Peer(String id) {
            this.id = id;
        }

        void take(Server s) {
            zone = s.zone();
            kind = s.kind();
            cell = s.cell();
            state = s.state();
            size = s.size();
            since = s.since();
        }

        boolean serving() {
            return state == ServerState.SERVING;
        }

        long servedSince(long from) {
            while (!served.isEmpty() && served.peek() < from) {
                served.poll();
            }
            return served.size();
        }

        long sentSince(long from) {
            return sends.stream().filter(s -> s.at > from).count();
        }
    }

    /** A key of the prefix table. */
    static final class Key {
        final String name;
        final TreeMap<String, Holder> holders = new TreeMap<>();
        long used;
        int uses;
        int homes;

        Key(String name) {
            this.name = name;
        }
    }

    /** A reader that likely keeps a key's tokens. */
    static final class Holder {
        final ArrayDeque<Long> seen = new ArrayDeque<>();
        long tokens;

        Holder() {}

        Holder(long tokens) {
            this.tokens = tokens;
        }

        int sharers(long from) {
            while (!seen.isEmpty() && seen.peek() < from) {
                seen.poll();
            }
            return seen.size();
        }
    }

    static final class Attempt {
        final int number;
        final Peer peer;
        final boolean read;
        final long missed;
        final long sentAt;
        long tokens;
        double cost;
        double expected;

        Attempt(int number, Peer peer, boolean read, long missed, long sentAt) {
            this.sentAt = sentAt;
            this.number = number;
            this.peer = peer;
            this.read = read;
            this.missed = missed;
        }
    }

    static final class Request {
        final long id;
        final Arrived arrival;
        final RequestClass cls;
        final long arrivedAt;
        final long deadline;
        final double aim;
        final Set<Peer> failed = new HashSet<>();
        int sends;
        Attempt attempt;
        Peer reader;
        long idleSince;
        boolean answered;
        boolean streaming;
        boolean settled;
        boolean full;
        Peer mayHaveRunAt;
        long mayHaveRunFrom;

        Request(Arrived a, RequestClass cls, long now) {
            this.id = a.id();
            this.arrival = a;
            this.cls = cls;
            this.arrivedAt = now;
            this.idleSince = now;
            this.deadline = now + a.budgetMicros();
            this.aim =
                    cls.latencyObjectiveMicros()
                            + cls.latencyObjectivePer1000TokensMicros() * a.promptTokens() / 1000.0;
        }

        String session() {
            return arrival.session();
        }

        String prefix() {
            return arrival.prefix();
        }

        /** For whom a server may be full: one number for each class and tenant. */
        int payer() {
            return arrival.cls() * PAYERS + arrival.tenant();
        }

        /** What all routers and tries of one conversation break ties by. */
        String tie() {
            return arrival.session() != null ? arrival.session() : "" + arrival.id();
        }

        long prompt() {
            return arrival.promptTokens();
        }

        boolean isOut(int number) {
            return attempt != null && attempt.number == number;
        }

        boolean waits() {
            return attempt == null && !answered;
        }
    }
}
