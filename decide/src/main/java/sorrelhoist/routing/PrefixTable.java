package sorrelhoist.routing;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The sessions and prefixes that were used lately, and where each is likely cached.
 *
 * <p>The table is ordered by use: each look-up moves an entry to its end, and that order decides
 * which entries an endpoint is expected to evict first.
 */
final class PrefixTable {
    /** An entry that was unused for this long is forgotten: it is evicted, or of the past. */
    static final long MAX_IDLE_MICROS = 60_000_000;

    /** Bounds the table whatever clients send: about 1.2 KB each. */
    static final int MAX_ENTRIES = 20_000;

    /** Uses within this window count as sharing a cached prefix. */
    private static final long SHARING_WINDOW_MICROS = 20_000_000;

    /** Share of an endpoint's memory from which a new prompt evicts old ones. */
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

    /** {@return the entry of a session or prefix, or null; it becomes the last used one} */
    CachedPrefix find(String name) {
        return name == null ? null : entries.get(name);
    }

    /** Counts one more request with a prefix that is known. */
    void recordUse(String prefix) {
        CachedPrefix entry = find(prefix);
        if (entry != null) {
            entry.uses++;
        }
    }

    /** {@return tokens of a prompt that an entry says an endpoint has cached} */
    long cachedTokens(CachedPrefix entry, Endpoint endpoint, TrackedRequest request) {
        if (entry == null) {
            return 0;
        }
        CachedPrefix.Holder holder = entry.holders.get(endpoint.id);
        boolean shared = entry.name.equals(request.prefix());
        long bound = shared ? request.arrival.prefixTokens() : request.promptTokens();
        return holder == null ? 0 : Math.min(holder.tokens, bound);
    }

    /** {@return tokens of a prompt that an endpoint would have to read} */
    long missedTokens(Endpoint endpoint, TrackedRequest request) {
        long bySession = cachedTokens(find(request.session()), endpoint, request);
        long byPrefix = cachedTokens(find(request.prefix()), endpoint, request);
        return request.promptTokens() - Math.max(bySession, byPrefix);
    }

    /**
     * Estimates what a prompt's evictions at an endpoint would cost.
     *
     * @return time to recompute the oldest entries that it would evict, times the requests that
     *     share each, in microseconds
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

    /** A send makes the endpoint a likely holder of session and prefix; the outcome confirms it. */
    void addHolder(TrackedRequest request, Endpoint endpoint) {
        addHolder(request.session(), request.promptTokens(), endpoint);
        addHolder(request.prefix(), request.arrival.prefixTokens(), endpoint);
    }

    /** Makes an endpoint a likely holder of one session or prefix. */
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

    /** A failed prefill leaves nothing cached. */
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

    /** A restart cleared the endpoint's cache. */
    void forgetEndpoint(String id) {
        entries.values().forEach(entry -> entry.holders.remove(id));
    }

    /** Forgets what was unused for too long, and the least recently used beyond the bound. */
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

    /** Adds an entry that another router exported. */
    void insert(CachedPrefix entry) {
        entries.put(entry.name, entry);
    }

    /** {@return all entries, the least recently used first} */
    Collection<CachedPrefix> entries() {
        return entries.values();
    }
}
