import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What the workers of one test share: the states that readers hold, and the ids clients sent. */
final class Fleet {
    /** The reader that holds the read state of a request. */
    final Map<String, Worker> states = new ConcurrentHashMap<>();

    /** Ids that clients have sent. */
    final Set<String> sentIds = ConcurrentHashMap.newKeySet();

    /** Receives each attempt at the moment at which its last byte has come. */
    volatile Listener listener = (worker, id, budgetMillis) -> {};

    interface Listener {
        void begun(Worker worker, String id, long budgetMillis);
    }
}
