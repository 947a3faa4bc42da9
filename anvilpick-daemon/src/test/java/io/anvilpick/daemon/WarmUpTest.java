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
    void everyCallGoesTheWholeWayAndNothingIsLeftBehind() throws Exception {
        EventLoopGroup peerThreads = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HashedWheelTimer alarms = new HashedWheelTimer();
        try (ClientFactory clients = ClientFactory.builder().build();
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            CallPath.Machinery machinery =
                    new CallPath.Machinery(clients, threads, alarms, TimeSource.system(), new SecureRandom());
            WarmUp.Result result = new WarmUp(machinery, peerThreads).run(CALLS);
            assertEquals(new WarmUp.Result(CALLS, CALLS), result);
            assertEquals(
                    new WarmUp.Result(1, 1), new WarmUp(machinery, peerThreads).run(1), "a second one finds no trace");
        } finally {
            alarms.stop();
            peerThreads.shutdownGracefully().sync();
        }
    }
}
