package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which requests there are: by their clients' numbers while an answer is owed, by their numbers at
 * Decide while it may still say something of them. Numbers are never given twice.
 */
final class Lives {
    private final Map<Long, Life> byClient = new HashMap<>();
    private final Map<Long, Life> byDecide = new HashMap<>();
    private final List<Life> leaving = new ArrayList<>();
    private long ids;

    /** A client asks. */
    Life open(InferenceRequest call, long now, long endsBy) {
        Life life = new Life(++ids, call, now, endsBy);
        byClient.put(life.client, life);
        return life;
    }

    /** The request, or what is left of one, goes to Decide under a number of its own. */
    void submit(Life life) {
        life.decideId = ++ids;
        life.sends = 0;
        byDecide.put(life.decideId, life);
    }

    /** Decide concluded this number; the client's answer may still go on under another. */
    void concluded(Life life) {
        byDecide.remove(life.decideId);
    }

    /** Nothing is owed to the client any more. */
    void finish(Life life) {
        life.finished = true;
        leaving.add(life);
        byClient.remove(life.client);
    }

    /** {@return the request that is owed an answer, or null} */
    Life ofClient(long client) {
        return byClient.get(client);
    }

    /** {@return the request with this number at Decide, or null} */
    Life ofDecide(long id) {
        return byDecide.get(id);
    }

    /** {@return the attempt with this name if it is the one that is out, or null} */
    static Life.Attempt out(Life life, AttemptId id) {
        return life != null && life.out != null && life.out.id.equals(id) ? life.out : null;
    }

    /**
     * Drops what is known of finished requests of which nothing is out. Until then Release has to
     * find them.
     */
    void sweep() {
        leaving.removeIf(
                life -> {
                    if (life.out == null) {
                        byDecide.remove(life.decideId);
                    }
                    return life.out == null;
                });
    }

    /** {@return how many are owed an answer} */
    int open() {
        return byClient.size();
    }

    /** {@return those that are owed an answer, as they are now} */
    List<Life> owed() {
        return List.copyOf(byClient.values());
    }

    /** {@return those that Decide knows} */
    Collection<Life> known() {
        return byDecide.values();
    }
}
