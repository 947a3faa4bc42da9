package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.Deadline;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the order in which waiting calls leave the queue. */
class CallOrderTest {
    private static final int CALLS = 300;
    private static final int MANY_TENANTS = 20_000;
    private static final int MAX_KEPT_TENANTS = 1_100;
    private static final TargetPolicy EARLIEST = new TargetPolicy.EarliestAnswer("z");

    private static Call call(long id, String tenant, int priority, long deadlineNanos) {
        RequestConfig request = new RequestConfig("r" + priority, "*", "/", true, false, 1_000, priority);
        return new Call(id, tenant, request, new Deadline(deadlineNanos));
    }

    /** Takes calls from a queue, at most {@code room} in one pass. */
    private static final class Taker implements CallQueue.DrainPolicy {
        private final List<Call> taken = new ArrayList<>();
        private int room;

        @Override
        public Optional<ErrorKind> refusalOf(Call call) {
            return Optional.empty();
        }

        @Override
        public boolean willMissGoal(Call call) {
            return false;
        }

        @Override
        public Optional<String> tenantOutOfTurn(Supplier<Set<String>> waiting) {
            return Optional.empty();
        }

        @Override
        public int weightOf(Call call) {
            return 1;
        }

        @Override
        public @Nullable Assignment tryAssign(Call call, int queued, Set<String> failed) {
            if (room == 0) {
                return null;
            }
            room--;
            taken.add(call);
            return new Assignment(call.id(), call, new TargetConfig("t", "10.0.0.1", 80, "z", false), 0, 1, 0);
        }

        private List<Call> take(CallQueue queue, int calls) {
            taken.clear();
            room = calls;
            DispatchResult ignored = queue.drain(this);
            return ImmutableList.copyOf(taken);
        }
    }

    /** Without tenants, the order is that of one queue by priority and deadline, as it was before there were levels. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void orderWithoutTenantsIsByPriorityAndDeadline(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        CallQueue queue = new CallQueue(CallOrder.of(EARLIEST));
        CallQueue tenantsFirst = new CallQueue(CallOrder.of(new TargetPolicy.LateBinding()));
        Taker taker = new Taker();
        List<Call> model = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            Call call = call(i, "", random.nextInt(4), 1 + random.nextInt(140));
            queue.add(call, 1, Set.of());
            tenantsFirst.add(call, 1, Set.of());
            model.add(call);
            if (random.nextInt(3) == 0) {
                Call removed = model.remove(random.nextInt(model.size()));
                assertTrue(queue.remove(removed));
                assertTrue(tenantsFirst.remove(removed));
            }
            int count = random.nextInt(3);
            model.sort(Comparator.<Call>comparingInt(each -> each.request().priority())
                    .thenComparingLong(each -> each.deadline().atNanos())
                    .thenComparingLong(Call::id));
            List<Call> expected = ImmutableList.copyOf(model.subList(0, Math.min(count, model.size())));
            model.removeAll(expected);
            assertEquals(expected, taker.take(queue, count));
            assertEquals(expected, taker.take(tenantsFirst, count));
        }
        assertEquals(queue.size(), model.size());
    }

    /** Guards against urgent calls of one tenant that wait behind those of tenants with less urgent ones. */
    @Test
    void urgentCallsOfAnyTenantGoFirst() {
        CallQueue queue = new CallQueue(CallOrder.of(EARLIEST));
        for (int i = 0; i < 10; i++) {
            queue.add(call(i, "busy", 1, 2 + i), 1, Set.of());
            queue.add(call(100 + i, "other" + i, 2, 1), 1, Set.of());
        }
        List<Call> first = new Taker().take(queue, 10);
        assertTrue(first.stream().allMatch(call -> call.tenant().equals("busy")), first::toString);
    }

    /** Guards against a tenant that gains by running empty and waiting again. */
    @Test
    void tenantThatRanEmptyKeepsWhatItHasHad() {
        FairCallQueue queue = new FairCallQueue();
        for (int i = 0; i < 4; i++) {
            queue.add(call(i, "steady", 1, 10 + i), 1);
        }
        Map<String, Integer> taken = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            queue.add(call(100 + i, "returning", 1, i), 1);
            Call next = queue.peek().orElseThrow();
            queue.dequeue(next);
            taken.merge(next.tenant(), 1, Integer::sum);
        }
        assertEquals(Map.of("steady", 2, "returning", 2), taken);
    }

    /** Guards against memory that grows with each tenant that ever called. */
    @Test
    void idleTenantsAreForgotten() {
        FairCallQueue queue = new FairCallQueue();
        Set<String> tenants = new HashSet<>();
        for (int i = 0; i < MANY_TENANTS; i++) {
            Call call = call(i, "tenant" + i, 1, i);
            queue.add(call, 1);
            queue.dequeue(call);
        }
        queue.addWaitingTenants(tenants);
        assertEquals(Set.of(), tenants);
        assertTrue(queue.knownTenants() <= MAX_KEPT_TENANTS, () -> "kept " + queue.knownTenants());
    }
}
