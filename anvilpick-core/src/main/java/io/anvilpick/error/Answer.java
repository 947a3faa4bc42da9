package io.anvilpick.error;

/**
 * The answer that a caller gets for one {@link ErrorKind}.
 *
 * @param status HTTP status code
 * @param outcome whether the call ran, as far as the daemon can determine
 * @param resend whether sending again is safe
 * @param retryAfterMillis milliseconds to wait before sending again; zero if waiting does not help
 */
public record Answer(int status, Outcome outcome, Resend resend, long retryAfterMillis) {}
