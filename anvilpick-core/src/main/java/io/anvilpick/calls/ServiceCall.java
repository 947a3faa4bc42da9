package io.anvilpick.calls;

import io.anvilpick.config.ServiceConfig;
import io.anvilpick.routing.Call;
import io.anvilpick.routing.Dispatcher;

/** A request together with what the configuration says of it. */
record ServiceCall(CallRequest request, ServiceConfig service, Call call, Dispatcher dispatcher) {}
