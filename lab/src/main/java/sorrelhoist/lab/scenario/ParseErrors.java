package sorrelhoist.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Collects the errors of a scenario's text, each as line:column: what, both counted from 1. */
final class ParseErrors extends BaseErrorListener {
    private final List<String> errors = new ArrayList<>();

    @Override
    public void syntaxError(
            Recognizer<?, ?> recognizer,
            Object symbol,
            int line,
            int column,
            String message,
            RecognitionException e) {
        add(line, column, message);
    }

    void add(ParserRuleContext at, String message) {
        Token start = at.getStart();
        add(start.getLine(), start.getCharPositionInLine(), message);
    }

    private void add(int line, int column, String message) {
        errors.add(line + ":" + (column + 1) + ": " + message);
    }

    void throwIfAny() throws ScenarioParser.InvalidScenarioException {
        if (!errors.isEmpty()) {
            throw new ScenarioParser.InvalidScenarioException(errors);
        }
    }
}
