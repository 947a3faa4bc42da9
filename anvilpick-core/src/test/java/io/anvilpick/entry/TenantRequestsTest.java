package io.anvilpick.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.allowances.AllowanceDecision;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.Header;
import io.anvilpick.calls.Sender;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetSamples;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.tenants.Allowance;
import io.anvilpick.tenants.Credential;
import io.anvilpick.tenants.Tenant;
import io.anvilpick.tenants.TenantHeaders;
import io.anvilpick.tenants.TenantTable;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests of tenants: their keys, the headers that targets receive, and their allowances. */
@Timeout(20)
class TenantRequestsTest {
    private static final Credential KEY = new Credential("secret-key-1");
    private static final Credential OTHER_KEY = new Credential("secret-key-2");
    private static final Tenant TENANT = new Tenant("north", 1, Optional.of(new Allowance(10, 10)));
    private static final SharedBudget BUDGET = new SharedBudget(0.2, 100, Duration.ofSeconds(10));

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final FakeTargetClient targets = new FakeTargetClient();
    private final EntryDispatchers dispatchers = new EntryDispatchers(time, () -> new SplittableRandom(3), BUDGET, "z");
    private final FleetState state = new FleetState(time, dispatchers::update);
    private final EntryCrashGuard crashes = new EntryCrashGuard(new CrashHistory(time), targets, report -> {}, time);
    private final EntryEvents events = new EntryEvents(new NoCounts(), time);
    private final Deque<AllowanceDecision> decisions = new ArrayDeque<>();
    private int permitsGivenBack;
    private boolean viewIsOld;

    private final EntryRunner runner = new EntryRunner(new EntryRunner.Parts(
            state::view,
            dispatchers,
            new Sender(targets, crashes, events, time, (nanos, action) -> {}),
            targets,
            crashes,
            events,
            time,
            new RequestAuthorizer(new TenantHeaders("x-key", "x-tenant"), () -> viewIsOld),
            (tenant, deadline) ->
                    decisions.isEmpty() ? new AllowanceDecision.Within(() -> permitsGivenBack++) : decisions.poll()));

    private void configure(long version, Credential... keys) {
        RouteConfiguration sample = FleetSamples.configuration(version);
        TenantTable tenants =
                TenantTable.builder().add(TENANT, ImmutableSet.copyOf(keys)).build();
        state.apply(List.of(
                new FleetChange.ConfigurationWritten(
                        new RouteConfiguration(version, sample.routes(), sample.services(), sample.limits(), tenants)),
                new FleetChange.TargetRegistered(FleetSamples.target("a", "s", false)),
                new FleetChange.TargetRegistered(FleetSamples.target("b", "s", false))));
    }

    private EntryRequest request(String path, Optional<Credential> key) {
        return new EntryRequest(
                "id-1",
                "a.example",
                "GET",
                path,
                ImmutableList.of(new Header("X-Tenant", "forged"), new Header("accept", "text/plain")),
                new byte[0],
                time.nanos(),
                Deadline.after(time, Duration.ofSeconds(4)),
                key);
    }

    private ErrorKind failure(String path, Optional<Credential> key) {
        return assertThrows(CallException.class, () -> runner.run(request(path, key)))
                .kind();
    }

    /** Guards against requests that run without a key or with one that no tenant holds. */
    @Test
    void rejectsRequestsWithoutAValidKey() {
        configure(1, KEY);
        assertEquals(ErrorKind.UNKNOWN_CREDENTIAL, failure("/read/1", Optional.empty()));
        assertEquals(ErrorKind.UNKNOWN_CREDENTIAL, failure("/read/1", Optional.of(OTHER_KEY)));
        assertEquals(List.of(), targets.sentTo);
    }

    /** Guards against keys that reach targets, and against callers that choose the tenant themselves. */
    @Test
    void targetReceivesTheNameOfTheTenantAndNotTheKey() throws Exception {
        configure(1, KEY);
        runner.run(request("/read/1", Optional.of(KEY)));
        CallRequest sent = targets.sent.getFirst();
        assertEquals(
                ImmutableList.of(new Header("accept", "text/plain"), new Header("x-tenant", "north")), sent.headers());
    }

    /** Guards against a daemon that rejects for good what a newer configuration allows. */
    @Test
    void doesNotRejectForGoodWhileItsViewIsOld() {
        configure(1, KEY);
        viewIsOld = true;
        assertEquals(ErrorKind.CONFIGURATION_MAY_BE_OLD, failure("/read/1", Optional.of(OTHER_KEY)));
        assertEquals(ErrorKind.CONFIGURATION_MAY_BE_OLD, failure("/nowhere/1", Optional.of(KEY)));
    }

    /** Guards against a retry that runs with a key which has been removed meanwhile. */
    @Test
    void isNotSentAgainOnceItsKeyIsRemoved() {
        configure(1, KEY);
        targets.replies.add(FakeTargetClient.rejected());
        targets.onSend = () -> configure(2, OTHER_KEY);
        assertEquals(ErrorKind.TARGET_REFUSED, failure("/read/1", Optional.of(KEY)));
        assertEquals(1, targets.sentTo.size());
    }

    /** Guards against requests beyond an allowance that are sent, and against a refusal without the time to return. */
    @Test
    void refusesRequestsBeyondTheAllowance() {
        configure(1, KEY);
        decisions.add(new AllowanceDecision.Exceeded(Duration.ofMillis(700)));
        CallException refused =
                assertThrows(CallException.class, () -> runner.run(request("/read/1", Optional.of(KEY))));
        assertEquals(ErrorKind.ALLOWANCE_EXCEEDED, refused.kind());
        assertEquals(Optional.of(Duration.ofMillis(700)), refused.retryAfter());
        decisions.add(new AllowanceDecision.Unavailable(Duration.ofMillis(300)));
        assertEquals(ErrorKind.ALLOWANCE_UNAVAILABLE, failure("/read/1", Optional.of(KEY)));
        assertEquals(List.of(), targets.sentTo);
    }

    /** Guards against an allowance that is used up by requests which no target has run. */
    @Test
    void givesThePermitBackIfTheRequestHasNotRun() throws Exception {
        configure(1, KEY);
        targets.replies.add(FakeTargetClient.rejected());
        targets.onSend = () -> configure(2, OTHER_KEY);
        assertEquals(ErrorKind.TARGET_REFUSED, failure("/read/1", Optional.of(KEY)));
        assertEquals(1, permitsGivenBack);
        runner.run(request("/read/1", Optional.of(OTHER_KEY)));
        assertEquals(1, permitsGivenBack);
    }

    /** Guards against keys in log lines, which print requests and configurations in their text form. */
    @Test
    void textFormsContainNoKey() {
        configure(1, KEY);
        String texts = request("/read/1", Optional.of(KEY)).toString()
                + state.view().configuration().orElseThrow()
                + KEY;
        assertFalse(texts.contains(KEY.key()), texts);
    }
}
