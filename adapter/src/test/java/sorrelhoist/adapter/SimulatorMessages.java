package sorrelhoist.adapter;

/** Messages of the simulator, in the JSON form of its protocol. */
final class SimulatorMessages {
    /** A router's settings. */
    static final String SETTINGS =
            """
            {"balancers":2,"me":0,"zone":0,"discovery":"push","domain-type":"twostage",\
            "later":{"x":[1]},"feedback":{"columns":["x0"],"how":"piggyback"},\
            "orgs":[{"name":"a","allowance-per-s":4,"share":0.5}],\
            "limits":{"send-cap":5,"cancel":true,"probing":false,"retry-after":true,\
            "max-retry-after-us":900000},\
            "request-classes":[{"aim-us":1000000,"semantics":"read_like","worth":2.5,\
            "key-scope":"zone"}],\
            "rules":{"cold-from":0.26,"cold-us":12000000,"fall-multiple":3.0,"fall-us":3000000},\
            "specifics":{"aim-us-per-1000-prompt-tokens":[40000.0],"memory-tokens":[2000,3000],\
            "release-within-us":500000,"stage-of-kind":["read","write"],"writers-read":true}}\
            """;

    /** Starts router 3. */
    static final String START =
            "{\"op\":\"hello\",\"router-id\":3,\"nonce64\":5,\"boot-info\":" + SETTINGS + "}";

    /** Stops router 3. */
    static final String STOP = "{\"op\":\"teardown\",\"router-id\":3}";

    /** Defines endpoint list 0 with a prefill server and a decode server. */
    static final String LIST =
            """
            {"op":"list","buffer":0,"rows-in":[{"worker":"r","state":"in_service","group":1},\
            {"worker":"w","kind":1,"group":1,"state":"in_service","since-us":6}]}\
            """;

    /** Updates router 3 to the servers of endpoint list 0. */
    static final String MEMBERS =
            "{\"op\":\"members\",\"router-id\":3,\"buffer\":0,\"form\":\"restored\"}";

    /** Request 9 arrives at router 3. */
    static final String REQUEST =
            """
            {"op":"knock","router-id":3,"msg-id":9,"class":0,"talk":"chat/k","budget-us":2000000,\
            "prefix":"p:c","n-prompt":1800,"n-prefix":1200,"max-tokens":256}\
            """;

    private SimulatorMessages() {}

    /** {@return a batch of messages} */
    static String batch(int round, long timeMicros, String... messages) {
        return "{\"time-us\":"
                + timeMicros
                + ",\"round\":"
                + round
                + ",\"msgs\":["
                + String.join(",", messages)
                + "]}";
    }
}
