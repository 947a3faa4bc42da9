/**
 * A stand-in for backend servers, with slots, a queue and injected misbehaviour, and for benchmarks an oracle that
 * schedules calls on them. Begin with {@link TargetStandIn}.
 */
@NullMarked
package io.anvilpick.standins.target;

import org.jspecify.annotations.NullMarked;
