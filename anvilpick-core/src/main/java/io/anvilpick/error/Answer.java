package io.anvilpick.error;

/**
 * What a caller is told for one {@link ErrorKind}.
 *
 * @param status HTTP status code
 * @param outcome what is known about whether the call ran
 * @param resend whether sending again is safe
 * @param retryAfterMillis milliseconds to wait before sending again; zero where waiting does not help
 */
public record Answer(int status, Outcome outcome, Resend resend, long retryAfterMillis) {}
