package sorrelhoist.standin.registry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import sorrelhoist.standin.registry.LeaseChange.Action;

/** Builds lists of instances as Eureka's REST API publishes them. */
final class EurekaListing {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MICROS_PER_MILLI = 1000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private EurekaListing() {}

    /** {@return Eureka's hash code of a list: how many instances have each status} */
    static String statusCounts(List<Lease> leases) {
        TreeMap<String, Integer> counts = new TreeMap<>();
        leases.forEach(lease -> counts.merge(lease.status(), 1, Integer::sum));
        StringBuilder text = new StringBuilder();
        counts.forEach((status, n) -> text.append(status).append('_').append(n).append('_'));
        return text.toString();
    }

    static ObjectNode instance(Lease lease, Action action) {
        ObjectNode node = lease.info().deepCopy();
        String overridden = lease.overriddenStatus();
        node.put("app", lease.application());
        node.put("status", lease.status());
        node.put("overriddenStatus", overridden == null ? "UNKNOWN" : overridden);
        node.withObject("/leaseInfo")
                .put("lastRenewalTimestamp", lease.renewedAtMicros() / MICROS_PER_MILLI)
                .put("durationInSecs", Math.max(1, lease.durationMicros() / MICROS_PER_SECOND));
        long changedAtMillis = lease.changedAtMicros() / MICROS_PER_MILLI;
        node.put("lastUpdatedTimestamp", Long.toString(changedAtMillis));
        node.put("actionType", action.name());
        return node;
    }

    /** {@return instances grouped by application, for a full list or a delta} */
    static ObjectNode applications(List<ObjectNode> instances, String hashCode) {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode applications = root.putObject("applications");
        applications.put("versions__delta", "1");
        applications.put("apps__hashcode", hashCode);
        ArrayNode list = applications.putArray("application");
        TreeMap<String, List<ObjectNode>> byApplication = new TreeMap<>();
        for (ObjectNode instance : instances) {
            String name = instance.get("app").asText();
            byApplication.computeIfAbsent(name, key -> new ArrayList<>()).add(instance);
        }
        byApplication.forEach((name, ofIt) -> list.add(application(name, ofIt)));
        return root;
    }

    static ObjectNode application(String name, List<ObjectNode> instances) {
        ObjectNode node = JSON.createObjectNode();
        node.put("name", name);
        node.putArray("instance").addAll(instances);
        return node;
    }
}
