package io.anvilpick.daemon.target.connections;

import io.anvilpick.config.TargetConfig;
import io.anvilpick.daemon.ScriptedServer;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.tenants.TenantHeaders;
import io.anvilpick.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;

/** A client and a scripted target for each test. */
abstract class TargetClientFixture {
    static final TargetHeaders NAMES = new TargetHeaders(
            "x-id",
            "x-left",
            "x-seal",
            "x-target",
            "x-load",
            "x-warm-up",
            "x-not-run",
            "x-leaving",
            new TenantHeaders("x-key", "x-tenant"));
    static final TimeSource TIME = TimeSource.system();
    static final long MAX_HELD_BYTES = 1024 * 1024;

    private static EventLoopGroup loops;

    final HeldBytes heldBodies = HeldBytes.atMost(MAX_HELD_BYTES);
    final NettyTargetClient client = clientOn(TIME);
    ScriptedServer target;

    @BeforeAll
    static void startLoops() {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterAll
    static void closeLoops() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @BeforeEach
    final void startTarget() throws Exception {
        target = new ScriptedServer();
    }

    @AfterEach
    final void closeTarget() {
        target.close();
    }

    final NettyTargetClient clientOn(TimeSource clock) {
        return new NettyTargetClient(loops, NAMES, clock, heldBodies);
    }

    final TargetConfig config() {
        return new TargetConfig("i-1", "127.0.0.1", target.port(), "z", false);
    }
}
