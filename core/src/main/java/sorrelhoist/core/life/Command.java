package sorrelhoist.core.life;

import sorrelhoist.Reason;

/** What a {@link Router} has its carrier do, in the order in which it is told. */
public sealed interface Command {
    /** Calls the handler's method for this command. */
    void accept(CommandHandler handler);

    /**
     * Have a reader read the prompt. Answered by one outcome of this attempt.
     *
     * @param attempt names the attempt
     * @param name the request's name at engines
     * @param engine where to
     * @param call what is asked
     * @param prompt the text, with what was answered so far where a stream goes on
     * @param promptTokens its tokens
     * @param until when the attempt is cut, on the router's clock; Long.MAX_VALUE for never
     * @param why why this engine
     */
    record Read(
            AttemptId attempt,
            String name,
            String engine,
            Call call,
            String prompt,
            long promptTokens,
            long until,
            Reason why)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.read(this);
        }
    }

    /**
     * Have a writer fetch the state and answer. Answered by tokens and one outcome of this attempt.
     *
     * @param attempt names the attempt
     * @param name the request's name at engines
     * @param engine where to
     * @param call what is asked
     * @param state what to fetch, or null where the engine reads the prompt by itself
     * @param place held ahead there, or empty
     * @param prompt the text
     * @param promptTokens its tokens
     * @param fromToken the first index that the client has not got
     * @param until when the client's time for the whole answer is up; Long.MAX_VALUE where it did
     *     not say
     * @param sendBy when its last byte has to have left, or it must not be sent any more;
     *     Long.MAX_VALUE for no limit
     * @param why why this engine
     */
    record Write(
            AttemptId attempt,
            String name,
            String engine,
            Call call,
            Held state,
            String place,
            String prompt,
            long promptTokens,
            int fromToken,
            long until,
            long sendBy,
            Reason why)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.write(this);
        }
    }

    /**
     * Stop waiting for an attempt; nothing of it is reported any more.
     *
     * @param attempt which
     */
    record Drop(AttemptId attempt) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.drop(this);
        }
    }

    /**
     * Hold a place ahead at a writer. Answered by {@link Router#placeAnswered}.
     *
     * @param request which request
     * @param name its name at engines
     * @param engine the writer
     * @param call what is asked
     */
    record Reserve(long request, String name, String engine, Call call) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reserve(this);
        }
    }

    /**
     * Let an engine release what it holds for a request. Answered by {@link Router#releaseEnded}.
     *
     * @param id names the call
     * @param name the request's name at engines; a place's name where its request is not known
     * @param engine which
     * @param state the state's name; empty for what its reads left that were given up on
     * @param place the place's name; may be empty
     * @param upTo where neither is named: the last attempt whose state is meant, so that a later
     *     read at the same engine keeps its own
     */
    record Release(long id, String name, String engine, String state, String place, int upTo)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.release(this);
        }
    }

    /**
     * Stop waiting for the answer to a release; nothing of it is reported any more.
     *
     * @param id which
     */
    record AbandonRelease(long id) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.abandonRelease(this);
        }
    }

    /**
     * What a request had reserved was not released in time: no engine answered. It is not tried any
     * longer.
     *
     * @param name the request's name at engines
     * @param engine the engine that was asked last
     * @param calls how many releases were sent
     */
    record ReleaseExpired(String name, String engine, int calls) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.releaseExpired(this);
        }
    }

    /**
     * Give the client a token.
     *
     * @param client which
     * @param index from 0, without gaps
     * @param text the token
     * @param ticket as given to {@link Router#token}
     */
    record Deliver(long client, int index, String text, Object ticket) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.deliver(this);
        }
    }

    /**
     * Give the client its one final answer; nothing follows it.
     *
     * @param client which
     * @param answer how it ended
     */
    record Finish(long client, Answer answer) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.finish(this);
        }
    }

    /**
     * Probe an engine. Answered by {@link Router#probeAnswered}.
     *
     * @param engine which
     */
    record Probe(String engine) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.probe(this);
        }
    }

    /**
     * Send a message to other routers.
     *
     * @param to a router's number; -1 for all
     * @param body at most 256 bytes
     */
    record Tell(int to, String body) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.tell(this);
        }
    }

    /** Ask for the whole roster. */
    record FetchRoster() implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.fetchRoster(this);
        }
    }

    /**
     * Close idle connections to an engine.
     *
     * @param engine which
     */
    record CloseIdle(String engine) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.closeIdle(this);
        }
    }

    /**
     * A line for the log.
     *
     * @param request the request's name, or null
     * @param text the line
     */
    record Log(String request, String text) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.log(this);
        }
    }

    /**
     * Says that what must always hold did not.
     *
     * @param text the line
     */
    record Violation(String text) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.violation(this);
        }
    }
}
