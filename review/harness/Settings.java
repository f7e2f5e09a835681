/** The settings of a small deployment, in the form of the simulator's first message. */
final class Settings {
    int routers = 2;
    int memoryMb = 160;
    int sockets = 512;
    String className = "consulta";
    String semantics = "read_like";
    String scope = "all";
    long repeatWindowMillis = 5000;
    long aimMillis = 1000;
    long deadlineMillis = 4000;
    long drainGraceMillis = 1000;
    long releaseMillis = 500;
    long idleMillis = 30000;
    long connectMillis = 250;
    int maxAttempts = 5;
    boolean resume = true;
    boolean writersRead = true;
    boolean peers = true;
    boolean probes = true;
    String kinds = "\"prefill\",\"decode\"";
    String stages = "\"read\",\"write\"";
    double coldFrom = 0.26;
    long coldMillis = 12000;
    double fallMultiple = 3;
    long fallMillis = 3000;

    String json(int me) {
        return "{\"balancers\":" + routers
                + ",\"clients\":{\"marks-retry\":false},\"dcs\":[\"mixco\",\"villa-nueva\"]"
                + ",\"deductions\":{\"probe\":0.003,\"peer\":0.003,\"waste\":0.08}"
                + ",\"discovery\":\"push\",\"domain-type\":\"twostage\""
                + ",\"feedback\":{\"columns\":[],\"how\":\"silent\"}"
                + ",\"kinds\":[" + kinds + "]"
                + ",\"limits\":{\"cancel\":true,\"conn-idle-us\":" + 1000 * idleMillis
                + ",\"dial-timeout-us\":" + 1000 * connectMillis
                + ",\"max-open\":20000,\"max-retry-after-us\":2000000,\"max-streams\":100"
                + ",\"may-tell\":" + peers + ",\"probing\":" + probes
                + ",\"retry-after\":true,\"second-copies\":true,\"send-cap\":" + maxAttempts + "}"
                + ",\"me\":" + me + ",\"orgs\":[],\"over-share-worth\":0.1"
                + ",\"request-classes\":[{\"aim-us\":" + 1000 * aimMillis
                + ",\"deadline-us\":" + 1000 * deadlineMillis
                + ",\"key-scope\":\"" + scope + "\",\"late-worth\":0.2,\"name\":\"" + className
                + "\",\"repeat-window-us\":" + 1000 * repeatWindowMillis
                + ",\"semantics\":\"" + semantics + "\",\"stream\":true,\"worth\":1.0}]"
                + ",\"round-us\":4000,\"rules\":{\"answer-slack-us\":16000"
                + ",\"ask-within-us\":10000000,\"cold-from\":" + coldFrom
                + ",\"cold-us\":" + 1000 * coldMillis
                + ",\"drain-grace-us\":" + 1000 * drainGraceMillis
                + ",\"fall-multiple\":" + fallMultiple + ",\"fall-us\":" + 1000 * fallMillis + "}"
                + ",\"specifics\":{\"aim-us-per-1000-prompt-tokens\":[40000.0],\"may-reserve\":true"
                + ",\"memory-tokens\":[245110,194920,194920],\"release-within-us\":"
                + 1000 * releaseMillis
                + ",\"resume\":" + resume + ",\"stage-of-kind\":[" + stages
                + "],\"token-aim-us\":[60000.0],\"transfer-price\":0.03,\"writers-read\":"
                + writersRead + "}"
                + ",\"tier\":0,\"tiers\":[\"asistente-pool\"],\"weights\":\"rough\""
                + ",\"worth-by\":\"work\",\"zone\":0}";
    }
}
