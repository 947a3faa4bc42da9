package io.anvilpick.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ActiveConfigurationTest {
    private static final int MAX_VERSIONS = 12;

    private static Snapshot version(long version) throws ConfigurationException {
        return Samples.snapshot(
                Samples.configuration(Samples.firstContract(), 2, (int) (1_000 + version)),
                version,
                version,
                Samples.FIRST);
    }

    /** Versions may arrive in any order and more than once, from the platform or from peers. */
    @Property(tries = 100, seed = "3")
    void versionNeverDecreases(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = MAX_VERSIONS) Integer> arrivals)
            throws Exception {
        ActiveConfiguration activeConfiguration = new ActiveConfiguration();
        List<Long> seen = new ArrayList<>();
        activeConfiguration.addListener(snapshot -> seen.add(snapshot.head().version()));
        long highest = 0;
        for (int arrival : arrivals) {
            boolean accepted = activeConfiguration.offer(version(arrival)).isEmpty();
            assertEquals(arrival > highest, accepted);
            highest = Math.max(highest, arrival);
            assertEquals(highest, activeConfiguration.version());
        }
        assertEquals(seen.stream().sorted().distinct().toList(), seen);
    }

    @Test
    void headWithAForeignSignatureIsRefused() throws Exception {
        ActiveConfiguration activeConfiguration = new ActiveConfiguration();
        Snapshot genuine = version(1);
        Snapshot forged = new Snapshot(
                new SignedHead(genuine.signed().head(), Signatures.sign(Samples.SECOND.privateKey(), "another text")),
                genuine.head(),
                genuine.configuration(),
                genuine.buckets(),
                genuine.parts());
        assertTrue(activeConfiguration.offer(forged).isPresent());
        assertEquals(0, activeConfiguration.version());
    }

    @Test
    void formerOperatorCannotReplaceItsSuccessor() throws Exception {
        ActiveConfiguration activeConfiguration = new ActiveConfiguration();
        activeConfiguration.offer(version(1));
        Snapshot next = Samples.snapshot(
                Samples.configuration(Samples.secondContract(2), 2, 1), 2, Samples.TERM_END, Samples.SECOND);
        assertTrue(activeConfiguration.offer(next).isEmpty());
        Snapshot late = Samples.snapshot(
                Samples.configuration(Samples.firstContract(), 2, 2), 3, Samples.TERM_END - 1, Samples.FIRST);
        assertTrue(activeConfiguration.offer(late).isPresent());
        assertEquals(2, activeConfiguration.version());
    }

    @Test
    void damagedOrMissingPartIsReportedByName() throws Exception {
        Snapshot whole = version(1);
        SnapshotAssembler assembler = new SnapshotAssembler(new ConfigurationCodec());
        ConfigurationException missing = assertThrows(
                ConfigurationException.class,
                () -> assembler.assemble(whole.signed(), null, digests -> ImmutableMap.of()));
        assertTrue(missing.getMessage().contains("missing"), missing.getMessage());
        ConfigurationException damaged = assertThrows(
                ConfigurationException.class,
                () -> assembler.assemble(whole.signed(), null, digests -> {
                    ImmutableMap.Builder<String, String> texts = ImmutableMap.builder();
                    digests.forEach(digest -> texts.put(digest, whole.parts().get(digest) + " "));
                    return texts.buildOrThrow();
                }));
        assertTrue(damaged.getMessage().contains("digest"), damaged.getMessage());
    }

    @Test
    void unchangedServicesAreNotFetchedOrDecodedAgain() throws Exception {
        Snapshot before = Samples.snapshot(Samples.configuration(Samples.firstContract(), 200, 1), 1, 1, Samples.FIRST);
        Snapshot after = Samples.snapshot(Samples.configuration(Samples.firstContract(), 200, 2), 2, 2, Samples.FIRST);
        List<String> fetched = new ArrayList<>();
        Snapshot assembled = new SnapshotAssembler(new ConfigurationCodec())
                .assemble(after.signed(), before, digests -> {
                    fetched.addAll(digests);
                    return after.parts();
                });
        assertEquals(2, fetched.size(), "one bucket and one service");
        assertTrue(assembled.configuration().services().get("service-7")
                == before.configuration().services().get("service-7"));
        assertEquals(after.configuration(), assembled.configuration());
    }

    /** A damaged head is reported as a ConfigurationException, never as another exception. */
    @Property(tries = 500, seed = "4")
    void anyTextOfAHeadIsDecodedOrRejected(@ForAll String text) {
        try {
            new ConfigurationCodec().decode("head", text, Head.class);
        } catch (ConfigurationException e) {
            assertTrue(e.getMessage().startsWith("head: "));
        }
    }
}
