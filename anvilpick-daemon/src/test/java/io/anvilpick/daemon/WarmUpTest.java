package io.anvilpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.linecorp.armeria.client.ClientFactory;
import io.anvilpick.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.HashedWheelTimer;
import java.security.SecureRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    private static final int CALLS = 400;

    @Test
    void everyCallIsAnsweredAndLaterWarmUpIsUnaffected() throws Exception {
        EventLoopGroup peerEventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HashedWheelTimer timer = new HashedWheelTimer();
        try (ClientFactory clients = ClientFactory.builder().build();
                ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            CallPath.SharedResources resources =
                    new CallPath.SharedResources(clients, executor, timer, TimeSource.system(), new SecureRandom());
            WarmUp.Result result = new WarmUp(resources, peerEventLoops).run(CALLS);
            assertEquals(new WarmUp.Result(CALLS, CALLS), result);
            assertEquals(
                    new WarmUp.Result(1, 1),
                    new WarmUp(resources, peerEventLoops).run(1),
                    "a second warm-up is independent of the first");
        } finally {
            timer.stop();
            peerEventLoops.shutdownGracefully().sync();
        }
    }
}
