package sorrelhoist.routing;

/** A straight line through recent (tokens, time) pairs, the old ones fading; arithmetic only. */
final class Line {
    private final double decay;
    private double n = 1;
    private double x;
    private double y;
    private double xx;
    private double xy;

    /**
     * Starts as if from a short and a long prompt that lay on a line.
     *
     * @param decay what a past pair weighs after each new one
     * @param start tokens of the made-up prompts, in the mean and as spread; time at no tokens;
     *     time a token
     */
    Line(double decay, double[] start) {
        this.decay = decay;
        x = start[0];
        y = start[1] + x * start[2];
        xx = 2 * x * x;
        xy = x * start[1] + xx * start[2];
    }

    void learn(double tokens, double time) {
        n = n * decay + 1;
        x = x * decay + tokens;
        y = y * decay + time;
        xx = xx * decay + tokens * tokens;
        xy = xy * decay + tokens * time;
    }

    Knowledge.RegressionSums sums() {
        return new Knowledge.RegressionSums(n, x, y, xx, xy);
    }

    /** Takes a taught line in place of its own, as if so many pairs had shown it. */
    void adopt(Knowledge.RegressionSums taught, double pairs) {
        double scale = pairs / taught.weight();
        n = pairs;
        x = taught.tokens() * scale;
        y = taught.micros() * scale;
        xx = taught.squaredTokens() * scale;
        xy = taught.tokensTimesMicros() * scale;
    }

    double pairs() {
        return n;
    }

    double mean() {
        return y / n;
    }

    /**
     * The expected time, at least a microsecond; a slope that falls, or that nothing shows, is
     * flat.
     */
    double at(double tokens) {
        double spread = n * xx - x * x;
        double slope = spread > n * n ? Math.max(0, (n * xy - x * y) / spread) : 0;
        return Math.max(1, (y - slope * x) / n + slope * tokens);
    }
}
