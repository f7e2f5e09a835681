package sorrelhoist.lab.scenario;

import java.util.ArrayList;
import java.util.List;

/** Reads the fleet and knows what it consists of. */
final class FleetReader {
    private static final int MAX_ENGINES = 64;
    private static final int MAX_EDGES = 16;
    private final ValueReader values;
    private final List<Scenario.Zone> zones = new ArrayList<>();

    FleetReader(ValueReader values) {
        this.values = values;
    }

    void read(DayLanguageParser.FleetContext fleet) {
        fleet.zone().forEach(this::readZone);
    }

    private void readZone(DayLanguageParser.ZoneContext zone) {
        List<Scenario.Rack> racks = new ArrayList<>();
        for (DayLanguageParser.RackContext rack : zone.rack()) {
            racks.add(
                    new Scenario.Rack(
                            values.name(rack.name()),
                            values.integer(rack, rack.INT(0).getText(), 0, MAX_ENGINES),
                            values.integer(rack, rack.INT(1).getText(), 0, MAX_ENGINES)));
        }
        int edges =
                zone.INT() == null ? 0 : values.integer(zone, zone.INT().getText(), 0, MAX_EDGES);
        zones.add(new Scenario.Zone(values.name(zone.name()), edges, racks));
    }

    List<Scenario.Zone> zones() {
        return zones;
    }

    int edges() {
        return zones.stream().mapToInt(Scenario.Zone::edges).sum();
    }

    boolean hasRack(String name) {
        return zones.stream()
                .flatMap(zone -> zone.racks().stream())
                .anyMatch(rack -> rack.name().equals(name));
    }

    /** {@return how many engines there are of a kind: reader, writer, or engine for both} */
    int engines(String kind) {
        return zones.stream()
                .flatMap(zone -> zone.racks().stream())
                .mapToInt(
                        rack ->
                                switch (kind) {
                                    case "reader" -> rack.readers();
                                    case "writer" -> rack.writers();
                                    default -> rack.readers() + rack.writers();
                                })
                .sum();
    }
}
