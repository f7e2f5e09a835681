package sorrelhoist.lab.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import sorrelhoist.routing.Knowledge;

/**
 * Studies what it is worth to teach a new router: at a warm fleet one router starts anew, untaught,
 * taught by another, or from its own past, with news of several ages; its first-token times are set
 * against the others'.
 */
public final class StateTransferStudy {
    private static final long SECOND = 1_000_000;
    private static final long WARM = 100 * SECOND;
    private static final int STEP_SECONDS = 5;
    private static final int STEPS = 12;
    private static final double NEAR = 1.1;

    /** How a router starts. */
    private enum Start {
        UNTAUGHT,
        TAUGHT,
        OWN_PAST
    }

    private record Way(String name, Start start, long age) {}

    private static final List<Way> WAYS =
            List.of(
                    new Way("untaught", Start.UNTAUGHT, 0),
                    new Way("taught, news 0 s old", Start.TAUGHT, 0),
                    new Way("taught, 30 s", Start.TAUGHT, 30 * SECOND),
                    new Way("taught, 5 min", Start.TAUGHT, 300 * SECOND),
                    new Way("taught, 30 min", Start.TAUGHT, 1800 * SECOND),
                    new Way("own past, 5 s", Start.OWN_PAST, 5 * SECOND));

    private static final class Curve {
        final double[] first = new double[STEPS];
        final double[] others = new double[STEPS];
        double missed;
        double missedOthers;
        int refused;
    }

    private final int seeds;
    private final Consumer<String> say;

    /**
     * Makes a study.
     *
     * @param seeds runs of each kind, averaged
     * @param say takes lines of the table
     */
    public StateTransferStudy(int seeds, Consumer<String> say) {
        this.seeds = seeds;
        this.say = say;
    }

    /**
     * Runs it.
     *
     * @param sizes numbers of routers
     * @param folder for the table and the charts
     */
    public void run(int[] sizes, Path folder) throws IOException {
        Files.createDirectories(folder);
        List<String> table = new ArrayList<>();
        table.add(
                "| routers | start | within 10% of the others after | first token in the first 10"
                        + " s, against the others' | prompt tokens read anew in 60 s, against the"
                        + " others' | unserved |");
        table.add("| --- | --- | --- | --- | --- | --- |");
        for (int routers : sizes) {
            Map<Way, Curve> curves = new LinkedHashMap<>();
            for (Way way : WAYS) {
                Curve c = new Curve();
                for (int seed = 1; seed <= seeds; seed++) {
                    add(c, routers, way, seed);
                }
                curves.put(way, c);
                String row = row(routers, way, c);
                table.add(row);
                say.accept(row);
            }
            draw(routers, curves, folder.resolve("knowledge-" + routers + ".png"));
        }
        Files.write(folder.resolve("knowledge-figures.md"), table);
    }

    private void add(Curve c, int routers, Way way, long seed) {
        int readers = Math.max(4, routers * 2 / 5);
        SimulatedFleet fleet =
                new SimulatedFleet(
                        routers, readers, Math.max(3, readers * 2 / 3), readers * 3.0, seed);
        // News is taken where it was then; what is older than the table's memory comes with its age
        // alone.
        long lead = Math.min(way.age(), 60 * SECOND);
        fleet.run(WARM - lead);
        Knowledge news = fleet.exportKnowledge(way.start() == Start.OWN_PAST ? 0 : 1);
        fleet.run(lead);
        fleet.restart(0);
        if (way.start() != Start.UNTAUGHT) {
            fleet.importKnowledge(0, news, way.age());
        }
        for (int i = 0; i < routers; i++) {
            fleet.takeTally(i);
        }
        Sums restarted = new Sums();
        Sums others = new Sums();
        for (int step = 0; step < STEPS; step++) {
            fleet.run(STEP_SECONDS * SECOND);
            addStep(c, step, fleet, routers, restarted, others);
        }
        c.missed += restarted.missedShare() / seeds;
        c.missedOthers += others.missedShare() / seeds;
    }

    /** Prompt tokens of a run: all, and those that were prefilled as no engine had them cached. */
    private static final class Sums {
        private double missed;
        private double prompt;

        void add(SimulatedFleet.Tally tally) {
            missed += tally.missed;
            prompt += tally.prompt;
        }

        double missedShare() {
            return missed / Math.max(1, prompt);
        }
    }

    private void addStep(
            Curve c, int step, SimulatedFleet fleet, int routers, Sums restarted, Sums others) {
        SimulatedFleet.Tally fresh = fleet.takeTally(0);
        double firstMicros = 0;
        int served = 0;
        for (int i = 1; i < routers; i++) {
            SimulatedFleet.Tally tally = fleet.takeTally(i);
            firstMicros += tally.firstMicros;
            served += tally.served;
            others.add(tally);
        }
        restarted.add(fresh);
        c.refused += fresh.unserved;
        double meanOfOthers = firstMicros / Math.max(1, served);
        double meanFirst = Double.isNaN(fresh.meanFirst()) ? meanOfOthers : fresh.meanFirst();
        c.others[step] += meanOfOthers / 1000 / seeds;
        c.first[step] += meanFirst / 1000 / seeds;
    }

    private static String row(int routers, Way way, Curve c) {
        int near = STEPS;
        for (int step = STEPS - 1; step >= 0 && c.first[step] <= NEAR * c.others[step]; step--) {
            near = step;
        }
        String after =
                near == 0
                        ? "at once"
                        : near == STEPS ? "not within 60 s" : near * STEP_SECONDS + " s";
        return String.format(
                "| %d | %s | %s | %.0f ms, %.0f ms | %.0f%%, %.0f%% | %d |",
                routers,
                way.name(),
                after,
                (c.first[0] + c.first[1]) / 2,
                (c.others[0] + c.others[1]) / 2,
                100 * c.missed,
                100 * c.missedOthers,
                c.refused);
    }

    private static void draw(int routers, Map<Way, Curve> curves, Path file) throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(900)
                        .height(500)
                        .title("A new router among " + routers)
                        .xAxisTitle("seconds after its start")
                        .yAxisTitle("mean first token, ms, against the others'")
                        .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNE);
        double[] x = new double[STEPS];
        for (int i = 0; i < STEPS; i++) {
            x[i] = (i + 1) * STEP_SECONDS;
        }
        curves.forEach(
                (way, c) -> {
                    double[] y = new double[STEPS];
                    for (int i = 0; i < STEPS; i++) {
                        y[i] = c.first[i] / c.others[i];
                    }
                    chart.addSeries(way.name(), x, y);
                });
        chart.setYAxisTitle("mean first token, as a multiple of the others'");
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
