package io.anvilpick.dispatch;

/** The order in which calls of different tenants and request classes leave a queue. */
sealed interface CallOrder {
    /** Tenants share by weight. Within a tenant, the more urgent request class comes first, then the earlier deadline. */
    record TenantsFirst() implements CallOrder {}

    /** The more urgent request class comes first. Within a class of urgency tenants share, then the earlier deadline comes first. */
    record UrgencyFirst() implements CallOrder {}

    /** Returns the order for dispatchers with {@code policy}. */
    static CallOrder of(TargetPolicy policy) {
        return policy instanceof TargetPolicy.EarliestAnswer ? new UrgencyFirst() : new TenantsFirst();
    }

    /** Returns the level of {@code call}; lower levels leave the queue first. */
    default int levelOf(Call call) {
        return switch (this) {
            case TenantsFirst ignored -> 0;
            case UrgencyFirst ignored -> call.request().priority();
        };
    }
}
