package io.anvilpick.daemon.target.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.Header;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Checks that a caller gets either the whole valid answer of a target or none, whatever the head of the answer. */
class AnswerHeadPropertyTest {
    private static final String ID = "1";
    private static final int MAX_HELD_BYTES = 100_000;
    private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
    private static final Pattern FINAL_STATUS = Pattern.compile("[2-5][0-9][0-9]");
    private static final Pattern STATUS_LINE =
            Pattern.compile("(HTTP/1\\.[01])[ \\t\\x0b\\f\\r]+([0-9]{3})(?:[ \\t\\x0b\\f\\r].*)?", Pattern.DOTALL);
    private static final Pattern LEADING_CONTROLS = Pattern.compile("^[\\x00-\\x20\\x7f-\\x9f]+");
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    /**
     * An answer as its target means it.
     *
     * @param version the first word of its status line
     * @param status the second word of its status line
     * @param lengths the values of its headers {@code content-length}
     * @param encodings the values of its headers {@code transfer-encoding}
     * @param body its body
     */
    private record Message(String version, String status, List<String> lengths, List<String> encodings, String body) {
        boolean isValid() {
            boolean framed = encodings.isEmpty()
                    ? lengths.isEmpty()
                            || (lengths.size() == 1
                                    && LENGTH.matcher(lengths.getFirst()).matches())
                    : lengths.isEmpty()
                            && version.equals("HTTP/1.1")
                            && encodings.size() == 1
                            && encodings.getFirst().equalsIgnoreCase("chunked");
            return framed
                    && VERSIONS.contains(version)
                    && FINAL_STATUS.matcher(status).matches();
        }

        /** Returns whether an answer with that status has no body, whatever its headers state. */
        boolean hasNoBody() {
            return status.equals("204") || status.equals("304");
        }

        boolean isChunked() {
            return encodings.stream()
                    .anyMatch(encoding -> encoding.toLowerCase(Locale.ROOT).contains("chunked"));
        }

        String text() {
            StringBuilder text =
                    new StringBuilder(version + " " + status + " Reason\r\nx-id: " + ID + "\r\nx-seal: s\r\n");
            lengths.forEach(
                    length -> text.append("content-length: ").append(length).append("\r\n"));
            encodings.forEach(encoding ->
                    text.append("transfer-encoding: ").append(encoding).append("\r\n"));
            text.append("\r\n");
            if (hasNoBody()) {
                return text.toString();
            }
            return text.append(isChunked() ? chunkedBody() : body).toString();
        }

        private String chunkedBody() {
            String chunk = body.isEmpty() ? "" : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
            return chunk + "0\r\n\r\n";
        }
    }

    @Provide
    Arbitrary<Message> messages() {
        Arbitrary<String> versions = Arbitraries.frequencyOf(
                Tuple.of(6, Arbitraries.of("HTTP/1.1", "HTTP/1.0")),
                Tuple.of(1, Arbitraries.of("HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/9.9", "http/1.1", "ICY/1.1")));
        Arbitrary<String> statuses = Arbitraries.frequencyOf(
                Tuple.of(6, Arbitraries.integers().between(200, 599).map(String::valueOf)),
                Tuple.of(2, Arbitraries.integers().between(-1_000, 10_000).map(String::valueOf)),
                Tuple.of(
                        1,
                        Arbitraries.strings()
                                .withChars("0123456789+-x")
                                .ofMinLength(1)
                                .ofMaxLength(5)));
        Arbitrary<String> bodies = Arbitraries.strings().withCharRange('a', 'z').ofMaxLength(30);
        return Combinators.combine(versions, statuses, bodies, framings())
                .as((version, status, body, framing) -> new Message(
                        version,
                        status,
                        framing.lengths().stream()
                                .map(length -> length.replace("N", "" + body.length()))
                                .toList(),
                        framing.encodings(),
                        body));
    }

    /** The values of framing headers, in which N stands for the length of the body. */
    private record Framing(List<String> lengths, List<String> encodings) {}

    private static Arbitrary<Framing> framings() {
        Arbitrary<Framing> valid = Arbitraries.of(
                new Framing(List.of("N"), List.of()),
                new Framing(List.of("0N"), List.of()),
                new Framing(List.of(), List.of("chunked")),
                new Framing(List.of(), List.of("CHUNKED")),
                new Framing(List.of(), List.of()));
        Arbitrary<String> length =
                Arbitraries.of("N", "+N", "-N", "N, N", "Nx", "", "0xN", "N N", "99999999999999999999");
        Arbitrary<String> encoding =
                Arbitraries.of("chunked", "gzip", "identity", "", "gzip, chunked", "chunked,chunked");
        Arbitrary<Framing> any = Combinators.combine(
                        length.list().ofMaxSize(2), encoding.list().ofMaxSize(2))
                .as(Framing::new);
        return Arbitraries.frequencyOf(Tuple.of(3, valid), Tuple.of(1, any));
    }

    /** Returns the reply to a request whose answer is {@code text}, which arrives in pieces and ends with an orderly close. */
    private static TargetReply replyTo(String text, int pieceLength) {
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        AnswerDecoder decoder = new AnswerDecoder();
        HeldBytes held = HeldBytes.atMost(MAX_HELD_BYTES);
        TargetConnection connection = new TargetConnection(
                new TargetConnection.Shared(
                        new ConnectionPool(new IdleReuseLimit(time)), TargetClientFixture.NAMES, time, held),
                "t:1",
                decoder);
        EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);
        PendingExchange exchange = exchange(time);
        connection.start(exchange);
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int from = 0; from < bytes.length && channel.isActive(); from += pieceLength) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, from, Math.min(pieceLength, bytes.length - from)));
        }
        channel.finishAndReleaseAll();
        assertEquals(0, held.held());
        return exchange.reply().join();
    }

    private static PendingExchange exchange(ManualTimeSource time) {
        CallRequest request = new CallRequest(
                "s",
                "",
                "GET",
                "/a",
                ImmutableList.of(new Header("x-id", ID)),
                new byte[0],
                Optional.empty(),
                Deadline.after(time, Duration.ofSeconds(1)),
                0);
        return PendingExchange.call(new TargetConfig("i-1", "t", 1, "z", false), request, "x-id");
    }

    @Property(tries = 5_000)
    void aCallerGetsTheWholeValidAnswerOrNone(
            @ForAll("messages") Message message, @ForAll("pieceLengths") int pieceLength) {
        String text = message.text();
        TargetReply reply = replyTo(text, pieceLength);
        if (message.isValid()) {
            assertIsAnswered(reply, message.status(), message.hasNoBody() ? "" : message.body(), text);
        } else {
            assertFalse(reply instanceof TargetReply.Answered, () -> text + " -> " + reply);
        }
    }

    @Provide
    Arbitrary<Integer> pieceLengths() {
        return Arbitraries.integers().between(1, 400);
    }

    /** A change of one byte of an answer. */
    private record Mutation(int position, int kind, char replacement) {
        private static final int REPLACE = 0;
        private static final int INSERT = 1;
        private static final int KINDS = 3;

        String applyTo(String text) {
            int at = position % text.length();
            String before = text.substring(0, at);
            return switch (kind) {
                case REPLACE -> before + replacement + text.substring(at + 1);
                case INSERT -> before + replacement + text.substring(at);
                default -> before + text.substring(at + 1);
            };
        }
    }

    @Provide
    Arbitrary<List<Mutation>> mutations() {
        Arbitrary<Character> characters = Arbitraries.frequencyOf(
                Tuple.of(3, Arbitraries.of('0', '1', '2', '9', ' ', '\t', '\r', '\n', ':', ',', '-', '+')),
                Tuple.of(1, Arbitraries.chars().range('\0', '\u00ff')));
        return Combinators.combine(
                        Arbitraries.integers().between(0, 10_000),
                        Arbitraries.integers().between(0, Mutation.KINDS - 1),
                        characters)
                .as(Mutation::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(3);
    }

    @Property(tries = 10_000)
    void nothingOfADamagedAnswerReachesACallerUnlessItIsValidAgain(
            @ForAll("messages") Message message,
            @ForAll("mutations") List<Mutation> mutations,
            @ForAll("pieceLengths") int pieceLength) {
        String text = message.text();
        for (Mutation mutation : mutations) {
            text = mutation.applyTo(text);
        }
        TargetReply reply = replyTo(text, pieceLength);
        if (reply instanceof TargetReply.Answered answered) {
            assertIsValid(text, answered.answer().status(), answered.answer().body());
        }
    }

    private static void assertIsAnswered(TargetReply reply, String status, String body, String text) {
        TargetReply.Answered answered = assertInstanceOf(TargetReply.Answered.class, reply, text);
        assertEquals(status, String.valueOf(answered.answer().status()));
        assertEquals(body, new String(answered.answer().body(), StandardCharsets.ISO_8859_1), text);
    }

    /** Fails unless {@code text} is a valid answer with that status and body. Reads it independently of Netty. */
    private static void assertIsValid(String text, int status, byte[] body) {
        String answer = LEADING_CONTROLS.matcher(text).replaceFirst("");
        int headLength = answer.indexOf(END_OF_HEAD);
        assertTrue(headLength > 0, text);
        List<String> lines = linesOf(answer.substring(0, headLength));
        Matcher statusLine = STATUS_LINE.matcher(lines.getFirst());
        assertTrue(statusLine.matches(), text);
        assertEquals(String.valueOf(status), statusLine.group(2), text);
        List<String> lengths = valuesOf(lines, "content-length");
        List<String> encodings = valuesOf(lines, "transfer-encoding");
        assertTrue(lengths.size() + encodings.size() <= 1, text);
        lengths.forEach(length -> assertTrue(LENGTH.matcher(length).matches(), text));
        encodings.forEach(encoding -> assertEquals("chunked", encoding.toLowerCase(Locale.ROOT), text));
        if (status == NO_CONTENT || status == NOT_MODIFIED) {
            assertEquals(0, body.length, text);
        } else if (encodings.isEmpty()) {
            String rest = answer.substring(headLength + END_OF_HEAD.length());
            int length = lengths.isEmpty() ? rest.length() : Integer.parseInt(lengths.getFirst());
            assertTrue(length <= rest.length(), text);
            assertEquals(rest.substring(0, length), new String(body, StandardCharsets.ISO_8859_1), text);
        }
    }

    /** Returns the lines of a head, in which a line that continues a header is part of that header. */
    private static List<String> linesOf(String head) {
        List<String> lines = new ArrayList<>();
        for (String line : Splitter.on("\r\n").split(head)) {
            boolean continuesHeader = lines.size() > 1 && (line.startsWith(" ") || line.startsWith("\t"));
            lines.add(continuesHeader ? lines.removeLast() + line : line);
        }
        return lines;
    }

    private static List<String> valuesOf(List<String> lines, String name) {
        return lines.stream()
                .skip(1)
                .filter(line -> line.contains(":"))
                .filter(line -> line.substring(0, line.indexOf(':')).strip().equalsIgnoreCase(name))
                .map(line -> line.substring(line.indexOf(':') + 1).strip())
                .toList();
    }
}
