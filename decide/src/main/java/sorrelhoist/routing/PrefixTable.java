package sorrelhoist.routing;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The recently used sessions and prefixes, and the endpoints where each is likely cached.
 *
 * <p>The table is in access order: each look-up moves an entry to the end. The order predicts which
 * entries an endpoint evicts first.
 */
final class PrefixTable {
    /**
     * Time after which an unused entry is removed: it is evicted at the endpoints, or no longer in
     * use.
     */
    static final long MAX_IDLE_MICROS = 60_000_000;

    /**
     * Maximum number of entries, which bounds the memory whatever clients send; an entry takes
     * about 1.2 KB.
     */
    static final int MAX_ENTRIES = 20_000;

    /** Window within which uses count as sharing a cached prefix. */
    private static final long SHARING_WINDOW_MICROS = 20_000_000;

    /** Memory share of an endpoint from which a new prompt evicts old entries. */
    private static final double EVICTION_MEMORY_SHARE = 0.9;

    private static final int INITIAL_CAPACITY = 256;
    private static final float LOAD_FACTOR = 0.75f;

    private final RoutingContext context;
    private final ServiceTimes serviceTimes;
    private final Map<String, CachedPrefix> entries =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    PrefixTable(RoutingContext context, ServiceTimes serviceTimes) {
        this.context = context;
        this.serviceTimes = serviceTimes;
    }

    /**
     * {@return the entry of a session or prefix, or null; the look-up makes it the most recently
     * used}
     */
    CachedPrefix find(String name) {
        return name == null ? null : entries.get(name);
    }

    /** Counts a request with a prefix, if the prefix is known. */
    void recordUse(String prefix) {
        CachedPrefix entry = find(prefix);
        if (entry != null) {
            entry.uses++;
        }
    }

    /**
     * {@return the number of prompt tokens that an endpoint has cached according to an entry; 0 if
     * the entry is null}
     */
    long cachedTokens(CachedPrefix entry, Endpoint endpoint, TrackedRequest request) {
        if (entry == null) {
            return 0;
        }
        CachedPrefix.Holder holder = entry.holders.get(endpoint.id);
        boolean shared = entry.name.equals(request.prefix());
        long bound = shared ? request.arrival.prefixTokens() : request.promptTokens();
        return holder == null ? 0 : Math.min(holder.tokens, bound);
    }

    /** {@return the number of prompt tokens that an endpoint likely does not have cached} */
    long missedTokens(Endpoint endpoint, TrackedRequest request) {
        long bySession = cachedTokens(find(request.session()), endpoint, request);
        long byPrefix = cachedTokens(find(request.prefix()), endpoint, request);
        return request.promptTokens() - Math.max(bySession, byPrefix);
    }

    /**
     * Estimates the cost of the evictions that a prompt causes at an endpoint.
     *
     * @return the sum over the evicted entries, oldest first, of the time to recompute an entry
     *     times its recent uses at the endpoint, in microseconds
     */
    double evictionCost(Endpoint endpoint, long missedTokens) {
        double cost = 0;
        long freed = 0;
        if (endpoint.memoryShare >= EVICTION_MEMORY_SHARE) {
            for (CachedPrefix entry : entries.values()) {
                CachedPrefix.Holder holder = entry.holders.get(endpoint.id);
                if (holder != null && freed < missedTokens) {
                    freed += holder.tokens;
                    cost +=
                            serviceTimes.prefillMicros(endpoint, holder.tokens)
                                    * holder.usesSince(context.now() - SHARING_WINDOW_MICROS);
                }
            }
        }
        return cost;
    }

    /**
     * Adds an endpoint as a likely holder of a request's session and prefix: after the send of a
     * prefill, and again when the outcome confirms it.
     */
    void addHolder(TrackedRequest request, Endpoint endpoint) {
        addHolder(request.session(), request.promptTokens(), endpoint);
        addHolder(request.prefix(), request.arrival.prefixTokens(), endpoint);
    }

    /** Adds an endpoint as a likely holder of one session or prefix. */
    void addHolder(String name, long tokens, Endpoint endpoint) {
        if (name == null || tokens <= 0) {
            return;
        }
        CachedPrefix.Holder holder =
                touch(name).holders.computeIfAbsent(endpoint.id, id -> new CachedPrefix.Holder(0));
        holder.tokens = tokens;
        holder.usesSince(context.now() - SHARING_WINDOW_MICROS);
        holder.recordUse(context.now());
    }

    /**
     * Removes an endpoint from the holders of a request's session and prefix after a failed
     * prefill.
     */
    void removeHolder(TrackedRequest request, Endpoint endpoint) {
        removeHolder(request.session(), request.promptTokens(), endpoint);
        removeHolder(request.prefix(), request.arrival.prefixTokens(), endpoint);
    }

    private void removeHolder(String name, long tokens, Endpoint endpoint) {
        if (name != null && tokens > 0) {
            touch(name).holders.remove(endpoint.id);
        }
    }

    private CachedPrefix touch(String name) {
        CachedPrefix entry = entries.computeIfAbsent(name, CachedPrefix::new);
        entry.lastUsedAt = context.now();
        return entry;
    }

    /** Removes an endpoint from all entries, after a restart cleared its cache. */
    void forgetEndpoint(String id) {
        entries.values().forEach(entry -> entry.holders.remove(id));
    }

    /**
     * Removes entries that were unused for too long, and the least recently used ones beyond the
     * maximum.
     */
    void expire() {
        long oldest = context.now() - MAX_IDLE_MICROS;
        Iterator<CachedPrefix> leastRecent = entries.values().iterator();
        while (leastRecent.hasNext()
                && (leastRecent.next().lastUsedAt <= oldest || entries.size() > MAX_ENTRIES)) {
            leastRecent.remove();
        }
    }

    boolean contains(String name) {
        return entries.containsKey(name);
    }

    int size() {
        return entries.size();
    }

    /** Adds an imported entry. */
    void insert(CachedPrefix entry) {
        entries.put(entry.name, entry);
    }

    /** {@return all entries, the least recently used first} */
    Collection<CachedPrefix> entries() {
        return entries.values();
    }
}
