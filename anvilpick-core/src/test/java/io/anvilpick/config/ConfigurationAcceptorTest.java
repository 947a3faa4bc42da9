package io.anvilpick.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.platform.PlatformException;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConfigurationAcceptorTest {
    private static final int RACES = 1_000;

    private final FakePlatform platform = new FakePlatform(1);
    private final ConfigurationCodec codec = new ConfigurationCodec();
    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final ConfigurationStore store = new ConfigurationStore(platform, codec);
    private final ConfigurationAcceptor acceptor = new ConfigurationAcceptor(store, codec, time);

    private AcceptResult accept(Contract contract, int port, long expected, String id, Signatures.Keys keys)
            throws PlatformException, ConfigurationException {
        return acceptor.accept(new ConfigurationAcceptor.Change(
                Samples.configuration(contract, 3, port), expected, id, keys.privateKey()));
    }

    private AcceptResult acceptFirst(int port, long expected, String id)
            throws PlatformException, ConfigurationException {
        return accept(Samples.firstContract(), port, expected, id, Samples.FIRST);
    }

    private Head stored() throws PlatformException, ConfigurationException {
        return store.load(null).orElseThrow().snapshot().head();
    }

    @Test
    void acceptedConfigurationIsLoadedUnchanged() throws Exception {
        assertEquals(new AcceptResult.Accepted(1), acceptFirst(1_001, 0, "one"));
        Snapshot snapshot = store.load(null).orElseThrow().snapshot();
        assertEquals(Samples.configuration(Samples.firstContract(), 3, 1_001), snapshot.configuration());
    }

    @Test
    void changeAgainstAnOlderVersionIsStaleAndNotMerged() throws Exception {
        acceptFirst(1_001, 0, "one");
        acceptFirst(1_002, 1, "two");
        AcceptResult result = acceptFirst(1_003, 1, "three");
        assertEquals(
                "two",
                assertInstanceOf(AcceptResult.Stale.class, result).winner().changeId());
        assertEquals(2, stored().version());
    }

    @Test
    void retriedChangeIsAcceptedOnce() throws Exception {
        acceptFirst(1_001, 0, "one");
        assertEquals(new AcceptResult.Accepted(1), acceptFirst(1_001, 0, "one"));
        acceptFirst(1_002, 1, "two");
        assertEquals(new AcceptResult.Accepted(1), acceptFirst(1_001, 0, "one"), "found in the history");
        assertEquals(2, stored().version());
    }

    @Test
    void operatorWithoutContractCannotAccept() throws Exception {
        acceptFirst(1_001, 0, "one");
        assertInstanceOf(AcceptResult.Refused.class, accept(Samples.firstContract(), 1_002, 1, "two", Samples.SECOND));
        assertInstanceOf(
                AcceptResult.Refused.class, accept(Samples.secondContract(1), 1_002, 1, "two", Samples.SECOND));
    }

    @Test
    void rightToAcceptIsTransferredAfterTheTermInOneWrite() throws Exception {
        acceptFirst(1_001, 0, "one");
        assertInstanceOf(
                AcceptResult.Refused.class,
                accept(Samples.secondContract(2), 1_002, 1, "early", Samples.SECOND),
                "before the end of the term");
        time.advance(Duration.ofMillis(Samples.TERM_END));
        assertInstanceOf(AcceptResult.Refused.class, acceptFirst(1_002, 1, "late"), "after the end of the term");
        assertEquals(new AcceptResult.Accepted(2), accept(Samples.secondContract(2), 1_003, 1, "over", Samples.SECOND));
        assertInstanceOf(AcceptResult.Stale.class, acceptFirst(1_004, 1, "sent before"));
        assertInstanceOf(AcceptResult.Refused.class, acceptFirst(1_004, 2, "sent after"));
        assertEquals("second", stored().acceptedBy());
    }

    @Test
    void invalidPrivateKeyIsRejectedBeforeAnyWrite() {
        assertThrows(
                ConfigurationException.class,
                () -> acceptor.accept(new ConfigurationAcceptor.Change(
                        Samples.configuration(Samples.firstContract(), 1, 1), 0, "id", "not a key")));
        assertTrue(platform.headsWritten().isEmpty());
    }

    /** Guards against a read-back that fails on a part and is reported as a change that was not accepted. */
    @Test
    void headThatCannotBeReadBackLeavesTheOutcomeUnknown() throws Exception {
        acceptFirst(1_001, 0, "one");
        platform.failNextHeadWrite("not a head");
        assertInstanceOf(AcceptResult.Unknown.class, acceptFirst(1_002, 1, "two"));
    }

    /** Guards against the private key of an operator in a log line or an error text. */
    @Test
    void privateKeyIsNotPrinted() {
        String key = Samples.FIRST.privateKey();
        ConfigurationAcceptor.Change change =
                new ConfigurationAcceptor.Change(Samples.configuration(Samples.firstContract(), 1, 1), 0, "id", key);
        assertFalse(Samples.FIRST.toString().contains(key));
        assertFalse(change.toString().contains(key));
    }

    /** Parts and history never change, so a write of them without an answer is repeated. The head is read back. */
    @Test
    void lostAnswersAloneDoNotFailAcceptance() throws Exception {
        platform.injectFaults(50, 0);
        for (int version = 0; version < 20; version++) {
            assertEquals(new AcceptResult.Accepted(version + 1), acceptFirst(1_001 + version, version, "id" + version));
        }
        assertEquals(20, platform.headsWritten().size());
    }

    /**
     * Two changes race 1,000 times while answers are lost and calls are refused. Each change is retried until its
     * outcome is known.
     */
    @Test
    void racesWithLostAnswersStoreExactlyTheWinnersInOrder() throws Exception {
        platform.injectFaults(30, 20);
        SplittableRandom random = new SplittableRandom(5);
        Set<String> winners = new HashSet<>();
        long version = 0;
        for (int race = 0; race < RACES; race++) {
            String mine = "mine" + race;
            String theirs = "theirs" + race;
            boolean mineFirst = random.nextBoolean();
            String first = mineFirst ? mine : theirs;
            String second = mineFirst ? theirs : mine;
            assertInstanceOf(AcceptResult.Accepted.class, acceptUntilOutcomeIsKnown(1_000 + race, version, first));
            assertInstanceOf(AcceptResult.Stale.class, acceptUntilOutcomeIsKnown(2_000 + race, version, second));
            winners.add(first);
            version++;
        }
        assertEquals(RACES, platform.headsWritten().size());
        long expected = 1;
        for (String text : platform.headsWritten()) {
            Head head = codec.decode(
                    "head", codec.decode("signed", text, SignedHead.class).head(), Head.class);
            assertEquals(expected++, head.version());
            assertTrue(
                    winners.remove(head.changeId()),
                    "a change was stored twice, or was stored although it was reported as stale");
        }
    }

    private AcceptResult acceptUntilOutcomeIsKnown(int port, long expected, String id) throws ConfigurationException {
        while (true) {
            try {
                AcceptResult result = acceptFirst(port, expected, id);
                if (!(result instanceof AcceptResult.Unknown)) {
                    return result;
                }
            } catch (PlatformException e) {
                // The platform failed before the write of the head; the same change is retried.
                continue;
            } catch (ConfigurationException e) {
                if (!e.getMessage().contains("refused")) {
                    throw e;
                }
            }
        }
    }
}
