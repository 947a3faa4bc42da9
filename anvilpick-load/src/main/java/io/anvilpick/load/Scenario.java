package io.anvilpick.load;

import java.util.List;

/** Condition of the targets, or shape of the load, during a measurement. */
sealed interface Scenario {
    /** All targets are healthy, and the load keeps a share of all slots busy. */
    record Steady(double utilisation) implements Scenario {}

    /** One target is ten times slower than usual and reports that it is idle. */
    record Straggler() implements Scenario {}

    /** Every target alternates between its usual service time and four times that, for 5 to 50 ms each. */
    record Noise() implements Scenario {}

    /** One target answers every call immediately with a server error. */
    record BlackHole() implements Scenario {}

    /** One target crashes halfway through the measurement and does not restart. */
    record Crash() implements Scenario {}

    /** One target is draining. */
    record Drain() implements Scenario {}

    /** One target, of ten in the default setup, takes five times its usual service time, as after a cold start. */
    record ColdStart() implements Scenario {}

    /** One of three tenants sends three times the load of each other tenant. The total exceeds the capacity of all slots. */
    record Burst() implements Scenario {}

    /** Returns all scenarios, in the order of the tables. */
    static List<Scenario> all() {
        return List.of(
                new Steady(0.7),
                new Steady(0.9),
                new Straggler(),
                new Noise(),
                new BlackHole(),
                new Crash(),
                new Drain(),
                new ColdStart(),
                new Burst());
    }

    /** Returns the scenarios of a quick run. */
    static List<Scenario> quick() {
        return List.of(new Steady(0.7), new Straggler(), new Noise());
    }

    /** Returns the name of this scenario in the tables. */
    default String label() {
        return switch (this) {
            case Steady steady -> "steady %.0f%%".formatted(steady.utilisation() * 100);
            case Straggler ignored -> "straggler";
            case Noise ignored -> "noisy neighbours";
            case BlackHole ignored -> "fails fast";
            case Crash ignored -> "crash";
            case Drain ignored -> "drain";
            case ColdStart ignored -> "cold start";
            case Burst ignored -> "burst of one tenant";
        };
    }

    /** Returns the share of the slot time of healthy targets that the load uses. */
    default double utilisation() {
        return switch (this) {
            case Steady steady -> steady.utilisation();
            case Straggler ignored -> 0.7;
            // Noise multiplies service times by 2.5 on average. This share of the usual slot time therefore keeps slots
            // 70% busy.
            case Noise ignored -> 0.28;
            case BlackHole ignored -> 0.7;
            case Crash ignored -> 0.8;
            case Drain ignored -> 0.8;
            case ColdStart ignored -> 0.7;
            case Burst ignored -> 1.2;
        };
    }

    /** Returns the shares of the load of the tenants a, b and c, in this order. */
    default List<Double> tenantShares() {
        return this instanceof Burst ? List.of(0.6, 0.2, 0.2) : List.of(1.0 / 3, 1.0 / 3, 1.0 / 3);
    }

    /**
     * Returns the admin query that sets the fault of the first target, or empty text if no fault is set by a query. A crash
     * is not set by a query.
     */
    default String firstTargetQuery() {
        return switch (this) {
            case Straggler ignored -> "slowness=10&report_idle=true";
            case BlackHole ignored -> "fail_fast=true&report_idle=true";
            case Drain ignored -> "draining=true";
            case ColdStart ignored -> "slowness=5";
            case Noise ignored -> "noisy=true";
            case Crash ignored -> "";
            case Steady ignored -> "";
            case Burst ignored -> "";
        };
    }

    /** Returns the admin query that sets the fault of all other targets, or empty text for no fault. */
    default String otherTargetsQuery() {
        return this instanceof Noise ? "noisy=true" : "";
    }
}
