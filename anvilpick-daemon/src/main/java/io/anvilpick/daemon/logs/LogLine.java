package io.anvilpick.daemon.logs;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.text.MessageFormat;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/** Formats a log record as one line of text. */
final class LogLine {
    private LogLine() {}

    static void append(StringBuilder text, LogRecord record) {
        text.append("time=").append(record.getInstant()).append(" level=").append(levelName(record.getLevel()));
        text.append(' ').append(oneLine(messageOf(record)));
        if (record.getThrown() != null) {
            text.append(" thrown=\"")
                    .append(oneLine(stackTrace(record.getThrown())))
                    .append('"');
        }
        text.append('\n');
    }

    private static String messageOf(LogRecord record) {
        String message = String.valueOf(record.getMessage());
        Object[] parameters = record.getParameters();
        boolean hasNoParameters = parameters == null || parameters.length == 0;
        return hasNoParameters ? message : MessageFormat.format(message, parameters);
    }

    private static String levelName(Level level) {
        if (level.intValue() >= Level.SEVERE.intValue()) {
            return "ERROR";
        }
        if (level.intValue() >= Level.WARNING.intValue()) {
            return "WARN";
        }
        return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter trace = new StringWriter();
        thrown.printStackTrace(new PrintWriter(trace, true));
        return trace.toString();
    }

    private static String oneLine(String text) {
        return text.replace('\r', ' ').replace('\n', ' ');
    }
}
