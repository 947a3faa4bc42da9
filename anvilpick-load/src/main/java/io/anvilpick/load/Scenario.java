package io.anvilpick.load;

import java.util.List;

/** What happens to the targets, or to the load, during a measurement. */
sealed interface Scenario {
    /** All is well; a share of all slots is busy. */
    record Steady(double utilisation) implements Scenario {}

    /** One target is ten times slower and reports idle. */
    record Straggler() implements Scenario {}

    /** Every target flips between one and four times its usual time for 5 to 50 ms each. */
    record Noise() implements Scenario {}

    /** One target answers every call at once with a server error. */
    record BlackHole() implements Scenario {}

    /** One target crashes half-way through and stays away. */
    record Crash() implements Scenario {}

    /** One target is draining. */
    record Drain() implements Scenario {}

    /** One target of ten takes five times as long, as after a cold start. */
    record ColdStart() implements Scenario {}

    /** One tenant of three sends three times its share, so that all slots together are not enough. */
    record Burst() implements Scenario {}

    /** Returns every scenario, in the order of the tables. */
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

    /** Returns the few scenarios of a quick run. */
    static List<Scenario> quick() {
        return List.of(new Steady(0.7), new Straggler(), new Noise());
    }

    /** Returns the name in the tables. */
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

    /** Returns the share of the slot time of healthy targets that the load takes. */
    default double utilisation() {
        return switch (this) {
            case Steady steady -> steady.utilisation();
            case Straggler ignored -> 0.7;
            // The mean factor of the noise is 2.5, so that this share of the usual slot time keeps slots 70% busy.
            case Noise ignored -> 0.28;
            case BlackHole ignored -> 0.7;
            case Crash ignored -> 0.8;
            case Drain ignored -> 0.8;
            case ColdStart ignored -> 0.7;
            case Burst ignored -> 1.2;
        };
    }

    /** Returns the shares of the load by tenant; tenants are called a, b and c. */
    default List<Double> tenantShares() {
        return this instanceof Burst ? List.of(0.6, 0.2, 0.2) : List.of(1.0 / 3, 1.0 / 3, 1.0 / 3);
    }

    /** Returns the query by which the first target is told how to misbehave. */
    default String firstTarget() {
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

    /** Returns the query by which all other targets are told how to misbehave. */
    default String otherTargets() {
        return this instanceof Noise ? "noisy=true" : "";
    }
}
