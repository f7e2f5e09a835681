package sorrelhoist;

import java.util.List;
import java.util.Objects;
import sorrelhoist.Routing.*;

/** Refuses settings with which no router could keep its rules; decides nothing. */
final class SettingsCheck {
    private SettingsCheck() {}

    static Settings checked(Settings s) {
        require(s != null, "settings");
        require(s.routers() > 0, "routers");
        require(s.self() >= 0, "self");
        require(s.reports() != null, "reports");
        require(whole(s.classes()) && !s.classes().isEmpty(), "classes");
        require(whole(s.tenants()), "tenants");
        require(whole(s.kinds()) && !s.kinds().isEmpty(), "kinds");
        require(s.limits() != null && s.limits().maxAttempts() > 0, "limits");
        require(s.limits().maxBackoffMicros() >= 0, "limits");
        require(
                s.rules() != null && s.rules().releaseMicros() > 0 && s.rules().coldFrom() > 0,
                "rules");
        require(s.rules().coldMicros() >= 0 && s.rules().fallMultiple() > 0, "rules");
        require(s.rules().fallMicros() > 0, "rules");
        for (RequestClass c : s.classes()) {
            require(c.aimMicros() > 0 && c.repeat() != null && c.scope() != null, "classes");
        }
        for (Kind k : s.kinds()) {
            require(k.role() != null, "kinds");
        }
        return s;
    }

    private static boolean whole(List<?> list) {
        return list != null && list.stream().noneMatch(Objects::isNull);
    }

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting missing or inconsistent: " + setting);
        }
    }

    /**
     * The same settings with another number of routers: parts of the fleet are granted by it from
     * now on.
     */
    static Settings reseated(Settings s, Seated e) {
        return checked(
                new Settings(
                        e.routers(),
                        e.self(),
                        s.zone(),
                        s.asksDiscovery(),
                        s.overShareWorth(),
                        s.reports(),
                        s.classes(),
                        s.tenants(),
                        s.kinds(),
                        s.limits(),
                        s.rules()));
    }

    static long monotonic(long before, long time) {
        if (time < before) {
            throw new IllegalArgumentException(
                    "the clock went back from "
                            + before
                            + " to "
                            + time
                            + ": pass one monotonic clock to every call");
        }
        return time;
    }

    static void arrival(Arrived a, Settings settings, boolean open) {
        if (a.cls() < 0 || a.cls() >= settings.classes().size()) {
            throw new IllegalArgumentException(
                    "class " + a.cls() + " is not in the settings' classes");
        }
        if (open) {
            throw new IllegalArgumentException(
                    "request " + a.id() + " is open: give each try a new id");
        }
    }
}
